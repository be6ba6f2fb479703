#!/usr/bin/env bash
# Measures slopes with magnolia-bench and writes docs/CAPACITY.md from
# utils/capacity.md.in. Run it on an idle machine.
#
# Environment: OUT (default docs/CAPACITY.md), BENCH (the binary).
set -eu
cd "$(dirname "$0")/.."
bench=${BENCH:-build/bin/magnolia-bench}
out=${OUT:-docs/CAPACITY.md}
json=$(mktemp)
page=$(mktemp)
trap 'rm -f "$json" "$page"' EXIT
"$bench" --json >"$json"

field() { # QUANTITY FIELD
    sed -n "s/^{\"name\":\"$1\",.*\"$2\":\([^,]*\),.*/\1/p" "$json"
}

last() { # QUANTITY: the value at the largest size
    sed -n "s/^{\"name\":\"$1\",.*,\([^],]*\)\]\]}/\1/p" "$json"
}

calculate() { # EXPRESSION
    awk "BEGIN { printf \"%.4g\", $1 }"
}

slopes() {
    sed 's/^{"name":"\([^"]*\)","unit":"\([^"]*\)","per":"\([^"]*\)","slope":\([^,]*\),"intercept":\([^,]*\),"r_squared":\([^,]*\),"samples":\[\(.*\)\]}/| \1 | \4 \2 per \3 | \5 | \6 | \7 |/' "$json"
}

verdict() { # VALUE LIMIT
    awk "BEGIN { print ($1 <= $2) ? \"kept\" : \"**missed**\" }"
}

gossip_bytes=$(last gossip-bytes)
full_bytes=$(sed -n 's/^{"name":"gossip-full-bytes".*\[9,\([^]]*\)\].*/\1/p' "$json")
gossip_cpu=$(calculate "$(last gossip-cpu) / 1e4")
gossip_mb=$(calculate "$(last gossip-memory) / 1e6")
group_cpu=$(calculate "$(last group-cpu) / 1e4")
group_mb=$(calculate "$(last group-memory) / 1e6")
# 1,300 groups, each watched by 8 of 550 hosts.
assigned=$(calculate '1300 * 8 / 550')
assigned_cpu=$(calculate "$(field group-cpu slope) * 1300 * 8 / 550 / 1e4")
statement=$(calculate "$(field statement-key slope) + $(field statement-decode slope) + $(field statement-encode slope) + $(field statement-bucket slope) + $(field statement-queue slope)")
statement_cpu=$(calculate "$statement * 1100000 / 550 / 1e4")
inventory_ms=$(calculate "$(last inventory-cpu) / 1e3")
inventory_cpu=$(calculate "$(last inventory-cpu) * 2000 / 86400 / 1e4")
inventory_kb=$(calculate "$(last inventory-size) / 1e3")
inventory_rate=$(calculate "$(last inventory-size) * 2000 / 86400")
returning=$(calculate "3300000 / 550")
returning_cpu=$(calculate "3300000 / 550 * $(field statement-key slope) / 1e3")

while IFS= read -r line; do
    case $line in
    @slopes@) slopes ;;
    *)
        while [[ $line =~ @([a-z_]+)@ ]]; do
            name=${BASH_REMATCH[1]}
            line=${line//@$name@/${!name}}
        done
        while [[ $line =~ \{([0-9.e+-]+)\<([0-9.]+)\} ]]; do
            line=${line//"${BASH_REMATCH[0]}"/$(verdict "${BASH_REMATCH[1]}" "${BASH_REMATCH[2]}")}
        done
        printf '%s\n' "$line"
        ;;
    esac
done <utils/capacity.md.in >"$page"
cp "$page" "$out"
