#!/usr/bin/env bash
# Starts or stops a whole deployment on loopback as separate processes: one
# standin-platform, nine standin-endpoint and HOSTS magnolia-proxy in four
# failure domains. Applies the profile's inventory and issues keys.
#
# Usage: utils/deployment.sh start|stop PROFILE [FOLDER]
#
# FOLDER keeps settings, logs, keys and process ids; by default a folder below
# TMPDIR for each profile. It is removed by stop. Environment: HOSTS (default
# 8), FIRST_PORT (default 21000), BIN (default build/bin), ENDPOINT_OPTIONS
# (more options of each standin-endpoint), EXTRA_CONNECTIONS (that endpoints
# accept beside the proxies' ones, default 0), RATE_FACTOR (of rates and bursts,
# default 1), LOG_LEVEL (default warning), KEEP=1 leaves FOLDER in place at
# stop.
set -eu
cd "$(dirname "$0")/.."
action=${1:?start or stop}
profile=${2:?muscat or nordurljos}
folder=${3:-${TMPDIR:-/tmp}/magnolia-$profile-$(id -u)}
hosts=${HOSTS:-8}
first_port=${FIRST_PORT:-21000}
bin=${BIN:-build/bin}

case $profile in
muscat)
    domains=(barka seeb sohar saham) groups=(stock cutting orders)
    slots=3 connections=20 ;;
nordurljos)
    domains=(selfoss hella vik hofn) groups=(dues standing postings)
    slots=5 connections=60 ;;
*) echo "unknown profile $profile, expected muscat or nordurljos" >&2; exit 2 ;;
esac

# Runs a process in the background; its id goes into FOLDER/NAME.pid.
launch() {
    local name=$1
    shift
    "$@" >"$folder/$name.log" 2>&1 &
    echo $! >"$folder/$name.pid"
}

stop_all() {
    local file id
    for file in "$folder"/*.pid; do
        [ -e "$file" ] || continue
        id=$(cat "$file")
        kill -TERM "$id" 2>/dev/null || true
        # A stopped process takes no signal until it is continued.
        kill -CONT "$id" 2>/dev/null || true
    done
    # A planned stop waits for running requests; what is left after the bound
    # is killed.
    for _ in $(seq 50); do
        alive=0
        for file in "$folder"/*.pid; do
            [ -e "$file" ] && kill -0 "$(cat "$file")" 2>/dev/null && alive=1
        done
        [ "$alive" = 0 ] && break
        sleep 0.1
    done
    for file in "$folder"/*.pid; do
        [ -e "$file" ] || continue
        kill -KILL "$(cat "$file")" 2>/dev/null &&
            echo "killed $(basename "$file" .pid)" >&2
    done
    [ "${KEEP:-0}" = 1 ] && rm -f "$folder"/*.pid || rm -rf "$folder"
}

start_all() {
    if [ -e "$folder/platform.pid" ]; then
        echo "$folder exists, stop the deployment first" >&2
        exit 1
    fi
    mkdir -p "$folder"
    local platform=127.0.0.1:$first_port
    local endpoint_port=$((first_port + 1))
    local proxy_port=$((first_port + 20))
    "$bin/magnolia-load" inventory --profile "$profile" --slots "$hosts" \
        --rate-factor "${RATE_FACTOR:-1}" \
        --first-port "$endpoint_port" >"$folder/inventory.ini"

    launch platform "$bin/standin-platform" --address "$platform"
    local port=$endpoint_port group index
    for group in "${groups[@]}"; do
        members=$group-1=127.0.0.1:$port
        members+=,$group-2=127.0.0.1:$((port + 1))
        members+=,$group-3=127.0.0.1:$((port + 2))
        for index in 1 2 3; do
            local options=(--address "127.0.0.1:$port" --group "$group"
                --endpoint "$group-$index" --members "$members"
                --slots "$slots"
                --connection-limit $((connections + ${EXTRA_CONNECTIONS:-0}))
                --connect-delay 10ms)
            [ "$index" = 1 ] && options+=(--initial-primary)
            # shellcheck disable=SC2086
            launch "$group-$index" "$bin/standin-endpoint" "${options[@]}" \
                ${ENDPOINT_OPTIONS:-}
            port=$((port + 1))
        done
    done

    local proxies="" seeds=127.0.0.1:$((proxy_port + 1))
    seeds+=,127.0.0.1:$((proxy_port + 3))
    for index in $(seq "$hosts"); do
        local callers=127.0.0.1:$((proxy_port + 2 * index - 2))
        cat >"$folder/h$index.ini" <<END
[host]
id = h$index
failure_domain = ${domains[$(((index - 1) % 4))]}
[listen]
callers = $callers
peers = 127.0.0.1:$((proxy_port + 2 * index - 1))
[platform]
address = $platform
[peers]
seeds = $seeds
[log]
level = ${LOG_LEVEL:-warning}
END
        launch "h$index" "$bin/magnolia-proxy" --settings "$folder/h$index.ini"
        proxies+=${proxies:+,}$callers
    done
    echo "$proxies" >"$folder/proxies"
    echo "$platform" >"$folder/platform"
    if ! "$bin/magnolia-load" prepare --profile "$profile" \
        --proxies "$proxies" --inventory "$folder/inventory.ini" \
        --keys "$folder/keys" --seconds 30; then
        tail -n 3 "$folder"/*.log >&2
        KEEP=1 stop_all
        exit 1
    fi
    echo "$folder"
}

case $action in
start) start_all ;;
stop) stop_all ;;
*) echo "unknown action $action, expected start or stop" >&2; exit 2 ;;
esac
