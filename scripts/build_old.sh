#!/usr/bin/env bash
# Builds the platform's program as it was at a commit, and prints its path. The tests in
# platform/tests/volume/upgrade.rs run it beside the current one:
#
#   BERGAMOTLANE_OLD_PROGRAM=$(scripts/build_old.sh COMMIT) \
#     cargo test -p bergamotlane-platform --test volume upgrade
#
# Usage: scripts/build_old.sh COMMIT
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$(git rev-parse --verify --quiet "${1:?"expected a commit"}^{commit}")
folder=$PWD/target/old
program=$folder/bergamotlane-platform-$commit
if [[ ! -x $program ]]; then
  sources=$folder/sources-$commit
  mkdir -p "$folder"
  git worktree add --quiet --detach "$sources" "$commit"
  trap 'git worktree remove --force "$sources"' EXIT
  cargo build --quiet --locked --manifest-path "$sources/Cargo.toml" \
    --package bergamotlane-platform --target-dir "$folder/build" >&2
  cp "$folder/build/debug/bergamotlane-platform" "$program"
fi
echo "$program"
