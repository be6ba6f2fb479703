#!/usr/bin/env bash
# Installs what is missing, builds, starts stand-ins and two proxies on
# loopback, runs a write through one proxy and the session's read through the
# other, prints what happened at each hop and stops everything.
set -eu
cd "$(dirname "$0")/.."
utils/install_packages.sh
echo "== building (the first build takes some minutes)"
utils/build.sh --target magnolia-proxy magnolia-ctl magnolia-query \
    standin-endpoint standin-platform | tail -1

bin=${BUILD_DIR:-build}/bin
work=$(mktemp -d)
pids=()
# Ends every process on any way out; a proxy finishes its requests first.
stop_all() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap stop_all EXIT

start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
}
# Runs a command until it succeeds, at most 15 s.
until_ok() {
    local end=$((SECONDS + 15))
    until "$@" >"$work/out" 2>&1; do
        if [ "$SECONDS" -ge "$end" ]; then
            cat "$work/out" "$work"/*.log >&2
            echo "gave up: $*" >&2
            exit 1
        fi
        sleep 0.2
    done
    cat "$work/out"
}

echo "== starting the platform, three endpoints of one group and two proxies"
members=ledger-a=127.0.0.1:7401,ledger-b=127.0.0.1:7402,ledger-c=127.0.0.1:7403
start platform "$bin/standin-platform" --address 127.0.0.1:7400
port=7401
for name in a b c; do
    primary=()
    [ "$name" = a ] && primary=(--initial-primary)
    start "ledger-$name" "$bin/standin-endpoint" --group ledger \
        --endpoint "ledger-$name" --address "127.0.0.1:$port" \
        --members "$members" "${primary[@]}"
    port=$((port + 1))
done
for host in 1 2; do
    cat >"$work/host$host.ini" <<INI
[host]
id = host-$host
failure_domain = domain-$host
[listen]
callers = 127.0.0.1:741$host
peers = 127.0.0.1:742$host
[platform]
address = 127.0.0.1:7400
[peers]
seeds = 127.0.0.1:7421, 127.0.0.1:7422
INI
    start "host-$host" "$bin/magnolia-proxy" --settings "$work/host$host.ini"
done

cat >"$work/inventory.ini" <<'INI'
[fleet]
slots = 2
configuration_bound = 5s
[organisation souq]
rate = 100/s
burst = 50
[caller stock-terminal]
organisation = souq
[group ledger]
[endpoint ledger-a]
group = ledger
failure_domain = domain-1
address = 127.0.0.1:7401
slots = 3
connections = 20
[endpoint ledger-b]
group = ledger
failure_domain = domain-2
address = 127.0.0.1:7402
slots = 3
connections = 20
[endpoint ledger-c]
group = ledger
failure_domain = domain-3
address = 127.0.0.1:7403
slots = 3
connections = 20
[route stock]
group = ledger
access = keyed
staleness = 2s
INI

echo "== the operator applies an inventory through host-1 and issues a key"
until_ok "$bin/magnolia-ctl" --address 127.0.0.1:7411 apply --wait 10s \
    "$work/inventory.ini"
until_ok "$bin/magnolia-ctl" --address 127.0.0.1:7411 key issue souq \
    --output "$work/key" --wait 10s

query() {
    local address=$1
    shift
    "$bin/magnolia-query" --address "$address" --route stock \
        --key-file "$work/key" --token-file "$work/token" "$@"
}
echo "== a write through host-1: host-1 -> ledger-a, replicated to a majority"
until_ok query 127.0.0.1:7411 put board-17 sold
echo "== the session's read through host-2: served by a replica that has it"
until_ok query 127.0.0.1:7412 get board-17
grep -q 'sold' "$work/out" || {
    echo "the session did not read its own write" >&2
    exit 1
}
echo "== what host-2 knows"
until_ok "$bin/magnolia-ctl" --address 127.0.0.1:7412 status
echo "== stopping; the proxies finish their requests first"
