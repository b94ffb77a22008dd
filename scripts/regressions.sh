#!/usr/bin/env bash
# Plays the regression runs on the users' bench: scores, and hunts for broken rules, of the
# deployments that are in use now. Not part of CI, which has neither the bench nor the site files.
#
# Usage: scripts/regressions.sh BENCH SITES [JOBS]
#   BENCH  path of the bench
#   SITES  folder that holds the folders of site files
#   JOBS   days that are played at the same time, by default half of the processors
set -euo pipefail
bench=${1:?"expected the path of the bench"}
sites=${2:?"expected the folder of the site files"}
jobs=${3:-$(($(nproc) / 2))}
cd "$(dirname "$0")/.."

# Site file, and the number of days to hunt on it.
regressions=(
  "sites/nilecraft-dies.toml 40"
  "sites/tallow-ridge.toml 40"
  "grown/nilecraft-dies-grown.toml 8"
  "grown/tallow-ridge-grown.toml 8"
  "large/nilecraft-dies-large.toml 8"
)

for regression in "${regressions[@]}"; do
  read -r site days <<<"$regression"
  "$bench" score "$sites/$site" --jobs "$jobs" --why "regression run"
  "$bench" hunt "$sites/$site" --days "$days" --jobs "$jobs" --why "regression run"
done
