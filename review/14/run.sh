#!/usr/bin/env bash
# Plays the case "second-answer". Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
standins=target/review-3/release/review-standins-3
run="$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)"
[ -x "$standins" ] && [ -x "$run" ] || exit 2
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
"$standins" second-answer "$run" "$folder" "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
