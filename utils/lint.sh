#!/usr/bin/env bash
# Checks the format of all sources and runs the linter on all translation
# units; results of unchanged units are taken from a cache. Needs a finished
# build (utils/build.sh), because the build knows which headers a unit uses.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
mapfile -t sources < <(git ls-files --cached --others --exclude-standard \
    '*.cpp' '*.hpp' | grep -v '/generated/')
clang-format --dry-run --Werror "${sources[@]}"

cache=${XDG_CACHE_HOME:-$HOME/.cache}/magnoliastack-lint
mkdir -p "$cache"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# One line for each unit: the source, then the project's files that it reads.
ninja -C "$build" -t deps | awk '
    /^[^ ].*#deps/ { if (line) print line; line = "" }
    /^ +\.\.\// { sub(/^ +\.\.\//, ""); line = line ? line " " $0 : $0 }
    END { if (line) print line }' | sort -u >"$work/units"
export build cache work
lint_one() {
    files=$(grep -m 1 "^$1 " "$work/units" || echo "$1")
    # shellcheck disable=SC2086
    key=$(cat .clang-tidy $files | sha256sum | cut -c1-40)
    [ -e "$cache/$key" ] && return 0
    out=$(clang-tidy --quiet -p "$build" "$1" 2>&1) || {
        printf '%s\n' "$out" | grep -v 'warnings generated'
        return 1
    }
    : >"$cache/$key"
}
export -f lint_one
printf '%s\n' "${sources[@]}" | grep '\.cpp$' |
    xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
echo "format and lint clean: ${#sources[@]} files"
