#!/usr/bin/env bash
# Refuses words of the users' platform outside platform/: they are translated
# there (docs/glossary.md). Also refuses files that tests left in the tree.
set -eu
cd "$(dirname "$0")/.."
found=$(git grep -nIwiE \
    'back_?ends?|zones?|tenants?|customers?|Magnoliastack-[A-Z][A-Za-z-]*' \
    -- 'include/*' 'lib/*' 'tools/*' ':!*generated*' || true)
if [ -n "$found" ]; then
    echo "words of the platform outside platform/:"
    echo "$found"
    exit 1
fi
left=$(git status --porcelain --untracked-files=all | grep '^??' || true)
if [ -n "$left" ] && [ "${CI:-}" = true ]; then
    echo "files left in the tree:"
    echo "$left"
    exit 1
fi
