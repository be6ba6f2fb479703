#!/usr/bin/env bash
# Runs both profiles calm and under five faults and writes docs/MEASURES.md.
# Each run has a deployment of its own, so that no fault is left over.
#
# Usage: utils/measure.sh [SCENARIO ...]   (default: all)
# Environment: SECONDS_PER_RUN (default 18), SEED (default 1), PROFILES,
# APPEND=1 (keep the rows of earlier runs),
# RETURNING (numbers of callers, default "500 2000"), OUT (default
# docs/MEASURES.md), FOLDER for the reports (default build/measures).
set -u
cd "$(dirname "$0")/.."
seconds=${SECONDS_PER_RUN:-18}
seed=${SEED:-1}
profiles=${PROFILES:-muscat nordurljos}
out=${OUT:-docs/MEASURES.md}
reports=${FOLDER:-build/measures}
load=build/bin/magnolia-load
scenarios=("$@")
[ $# -gt 0 ] || scenarios=(calm primary-killed domain-cut platform-outage
    overload replicas-behind direct returning)
mkdir -p "$reports"
rows=$reports/rows.md
notes=$reports/notes.md
[ "${APPEND:-0}" = 1 ] || : >"$rows" >"$notes"

endpoint_address() { # NAME
    grep -A 4 "^\[endpoint $1\]" "$folder/inventory.ini" |
        sed -n 's/^address = //p'
}

endpoints() {
    sed -n 's/^\[endpoint \(.*\)\]/\1/p' "$folder/inventory.ini"
}

names_except() { # LIST NAME...: the names of LIST without the others, as JSON
    local list=$1 name json=""
    shift
    for name in $list; do
        [[ " $* " == *" $name "* ]] || json+=${json:+,}\"$name\"
    done
    echo "[$json]"
}

set_faults() { # NAME JSON
    "$load" faults --address "$(endpoint_address "$1")" --set "$2"
}

set_platform() {
    "$load" faults --platform --address "$(cat "$folder/platform")" --set "$1"
}

# The hosts h2 and h6 and the second endpoint of each group lose contact with
# the platform and with all endpoints outside their failure domain. The
# stand-ins cannot cut the connections between proxies.
cut_domain() {
    local name all
    all="h1 h2 h3 h4 h5 h6 h7 h8 $(endpoints | tr '\n' ' ')"
    set_platform '{"setCut":true,"cut":["h2","h6"]}'
    for name in $(endpoints); do
        case $name in
        *-2) set_faults "$name" "{\"setCut\":true,\"cut\":$(
            names_except "$all" h2 h6 "$name")}" ;;
        *) set_faults "$name" "{\"setCut\":true,\"cut\":[\"h2\",\"h6\",$(
            )\"${name%-*}-2\"]}" ;;
        esac
    done
}

heal_domain() {
    local name
    set_platform '{"setCut":true}'
    for name in $(endpoints); do
        set_faults "$name" '{"setCut":true}'
    done
}

faults_during() { # SCENARIO: runs beside the load
    case $1 in
    primary-killed)
        sleep 5
        local victim
        victim=$("$load" primary --inventory "$folder/inventory.ini" |
            awk 'NR == 1 { print $2 }')
        kill -KILL "$(cat "$folder/$victim.pid")"
        ;;
    domain-cut) sleep 5; cut_domain; sleep 7; heal_domain ;;
    platform-outage)
        sleep 5
        set_platform '{"outage":true}'
        sleep 8
        set_platform '{"outage":false}'
        ;;
    esac
}

run_one() { # PROFILE SCENARIO
    local profile=$1 scenario=$2 options=() name code=0 pids=""
    # Streams of direct calls must not take connections from the proxies. A
    # storm at the normal rates would measure only the rates.
    local extra=0 factor=1
    [ "$scenario" = direct ] && extra=4
    [ "$scenario" = returning ] && factor=${STORM_FACTOR:-40}
    folder=$(EXTRA_CONNECTIONS=$extra RATE_FACTOR=$factor \
        utils/deployment.sh start "$profile" 2>"$reports/start.log" |
        tail -n 1)
    if [ -z "$folder" ]; then
        echo "- $profile $scenario: the deployment did not start: $(
            tail -n 1 "$reports/start.log")" >>"$notes"
        return
    fi
    # Buckets start empty and fill at the organisation's rate.
    sleep 6
    case $scenario in
    overload)
        name=$(sed -n 's/^\[organisation \(.*\)\]/\1/p' \
            "$folder/inventory.ini" | sed -n 5p)
        options+=(--overload "$name=10") ;;
    replicas-behind)
        for name in $(endpoints | grep -v -- '-1$'); do
            set_faults "$name" '{"applyDelayMs":200}'
        done ;;
    direct)
        options+=(--direct "$(sed -n 's/^\[group \(.*\)\]/\1/p' \
            "$folder/inventory.ini" | head -n 1)") ;;
    esac
    local report=$reports/$profile-$scenario-$seed
    if [ "$scenario" = returning ]; then
        pids=$(cat "$folder/h1.pid"),$(cat "$folder/h2.pid")
        for count in ${RETURNING:-500 2000}; do
            "$load" returning --profile "$profile" --seed "$seed" \
                --proxies "$(cut -d, -f1,2 "$folder/proxies")" \
                --keys "$folder/keys" --callers "$count" \
                --write-rate 250 \
                --process-ids "$pids" --json "$report-$count.json" \
                >"$report-$count.txt" 2>&1
            { echo "- $profile, $count callers over two proxies, exit $?:"
              echo '```'; cat "$report-$count.txt"; echo '```'; } >>"$notes"
        done
    else
        faults_during "$scenario" &
        local faults=$!
        "$load" run --profile "$profile" --seed "$seed" --seconds "$seconds" \
            --proxies "$(cat "$folder/proxies")" --keys "$folder/keys" \
            --inventory "$folder/inventory.ini" --json "$report.json" \
            --markdown "$rows" --label "$profile $scenario" "${options[@]}" \
            >"$report.txt" 2>&1
        code=$?
        wait "$faults"
        [ "$code" = 0 ] || { echo "- $profile $scenario, exit $code:"
            echo '```'; tail -n 40 "$report.txt" | grep -E \
                'lost|dupl|stale|foreign|false|unresolved|refused|repeat|: key'
            echo '```'; } >>"$notes"
        [ "$scenario" != direct ] || { echo "- $profile direct, side by side:"
            echo '```'; grep -E '^latency|^direct|^proxied' "$report.txt"
            echo '```'; } >>"$notes"
    fi
    utils/deployment.sh stop "$profile" 2>>"$notes"
}

for profile in $profiles; do
    for scenario in "${scenarios[@]}"; do
        echo "$(date +%T) $profile $scenario"
        run_one "$profile" "$scenario"
    done
done

{
    cat <<END
# Measures

Written by \`utils/measure.sh ${*:-}\`. Each run: \`utils/deployment.sh start
PROFILE\`, 6 s to fill the buckets, \`magnolia-load run --profile PROFILE --seed
$seed --seconds $seconds\` with 8 proxies, 9 endpoints and the platform as
separate processes on loopback, \`utils/deployment.sh stop PROFILE\`.
Machine: $(nproc) cores, load average at the end $(cut -d' ' -f1-3 /proc/loadavg);
other work ran on it at the same time, so latencies are upper bounds.
Commit $(git rev-parse --short HEAD).

Latencies include the clients' network delay of the profile, both ways.
Success and refusals count requests that the organisation's rate and burst
cover; for \`overload\` the overloaded organisation is left out of the columns.
A caller waits 5 s for an answer. The write gap of a calm run is the pause
between writes of the workload itself.

- primary-killed: SIGKILL of the first group's primary after 5 s.
- domain-cut: two of eight hosts and one endpoint of each group are cut from
  the platform and from all other endpoints from 5 s to 12 s; callers keep on
  using these hosts. The connections between proxies are not cut.
- platform-outage: from 5 s to 13 s.
- overload: the fifth organisation at 10 times its offered rate.
- replicas-behind: replicas show entries 200 ms late.
- returning: rates and bursts times ${STORM_FACTOR:-40}; all callers connect at one moment
  to two of the eight proxies, present their sessions and read their own write.
- direct: half of one group's sessions go straight to its primary.

END
    "$load" markdown-header
    cat "$rows"
    printf '\n## Details and failures\n\n'
    cat "$notes"
} >"$out"
