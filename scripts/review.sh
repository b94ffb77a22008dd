#!/usr/bin/env bash
# Builds the program and the stand-ins of the review, plays its five cases one after the other and tells
# which hold. `TROUBLE=0` leaves the disruptions out. Exits with 1 if a rule was broken, 2 if a case
# could not run.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
build="$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
$build && review/build.sh || exit 2
worst=0
for case in 1 2 3 4 5; do
  status=0
  "review/$case/run.sh" >"target/review/case-$case.log" 2>&1 || status=$?
  case "$status" in
    0) verdict="holds" ;;
    1) verdict="broken" ;;
    *) verdict="could not run" ;;
  esac
  echo "review/$case: $verdict (target/review/case-$case.log)"
  if [ "$status" -gt 2 ]; then status=2; fi
  if [ "$status" -gt "$worst" ]; then worst="$status"; fi
done
exit "$worst"
