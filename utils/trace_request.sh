#!/usr/bin/env bash
# Prints all lines of one request from the logs of any number of hosts, in the
# order of their time: utils/trace_request.sh ID LOG...
set -eu
if [ $# -lt 2 ]; then
    echo "usage: $0 REQUEST_ID LOG..." >&2
    exit 2
fi
id=$1
shift
grep -hE "(^| )request=$id( |\$)" "$@" | sed -E 's/^(.*)(time=([^ ]+).*)$/\3 \2/' |
    sort | cut -d' ' -f2- || {
    echo "no line of request $id; is the level info or lower?" >&2
    exit 1
}
