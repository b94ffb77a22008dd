#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
set -u
cd "$(dirname "$0")/../.."
folder=review/10
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
stand_ins=review/standins-2/target/release/review-standins-2
if [ ! -x "$stand_ins" ] || [ ! -x target/release/bergamotlane-platform ]; then
    echo "not built: the deploy file's build and review/build-2.sh come first" >&2
    exit 2
fi
"$stand_ins" budget "$folder" "$temporary"
