#!/usr/bin/env bash
# Checks the format of all sources and runs the linter on all translation
# units; results of unchanged units are taken from a cache. Needs a configured
# build folder (utils/build.sh).
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
mapfile -t sources < <(git ls-files --cached --others --exclude-standard \
    '*.cpp' '*.hpp' | grep -v '^proto/generated/')
clang-format --dry-run --Werror "${sources[@]}"

cache=${XDG_CACHE_HOME:-$HOME/.cache}/magnoliastack-lint
mkdir -p "$cache"
export build cache
# A unit is linted again when it, any header of the project or the linter's
# settings have changed.
headers=$(git ls-files --cached --others --exclude-standard '*.hpp' \
    .clang-tidy | sort | xargs cat | sha256sum | cut -c1-32)
export headers
lint_one() {
    key=$(printf '%s %s' "$headers" "$(sha256sum <"$1")" | sha256sum |
        cut -c1-40)
    [ -e "$cache/$key" ] && return 0
    out=$(clang-tidy --quiet -p "$build" "$1" 2>&1) || {
        printf '%s\n' "$out"
        return 1
    }
    : >"$cache/$key"
}
export -f lint_one
printf '%s\n' "${sources[@]}" | grep '\.cpp$' |
    xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
echo "format and lint clean: ${#sources[@]} files"
