#!/usr/bin/env bash
# Builds the workspace and demonstrates the main functions on one machine with the sample
# sheets of both deployments, or of one. Exits with status 1 at the first step that fails.
# Takes about a minute after the build and ends only the processes that it started.
# Usage: scripts/demo.sh [nilecraft|tallow-ridge]
set -euo pipefail
declare -a daemon_pid
cd "$(dirname "$0")/.."
cargo build --workspace --examples --bins --quiet
source scripts/cluster.sh

say() { printf '\n== %s\n' "$*"; }
fail() { tail -qn 12 "$work"/daemon*.log >&2; echo "demo: $*" >&2; exit 1; }

# demo SHEET ENGINE DESK LEDGER SCORER OPEN TRAINER CUSTOMER OTHER ZONE: runs all steps on one
# sheet. ENGINE to OPEN are service IDs: model engines, lookups, calls that must not be repeated,
# scores, and a service with an open route. CUSTOMER may use them, OTHER may not use SCORER, and
# ZONE is the common prefix of the three zones.
demo() {
  local sheet=$1 engine=$2 desk=$3 ledger=$4 scorer=$5 open=$6 trainer=$7 customer=$8 other=$9 zone=${10}
  local entries=3 n service
  pids=()
  write_keys
  say "$sheet: start three daemons, the platform and the weight store"
  start platform "$bin/examples/platform" --listen "127.0.0.1:$(port 900)" --checks-fence 0
  start weights "$bin/examples/weights" --listen "127.0.0.1:$(port 901)"
  local zones=("$zone-a" "$zone-b" "$zone-c")
  for n in 1 2 3; do start_daemon "$n" "${zones[n - 1]}" "$entries"; done
  until_true "the group to form" is_formed
  operate 1 instance list

  say "$sheet: check and apply the plan sheet"
  operate 2 sheet check "examples/sheets/$sheet.csv"
  operate 2 sheet apply "examples/sheets/$sheet.csv" --wait in-force

  say "$sheet: start targets, which announce themselves"
  for n in 0 1 2 3 4 5; do
    local class=steady
    [ "$n" -ge 3 ] && class=reclaimable
    start "engine$n" "$bin/examples/engine" --listen "127.0.0.1:$(port $((500 + n)))" \
      --service "$engine" --name "$engine-$n" --zone "${zones[n % 3]}" --class "$class" \
      --key "$engine-target-key" --entries "$(list targets 3)" --store "127.0.0.1:$(port 901)"
  done
  local place=600
  for service in "$desk" "$ledger" "$scorer" "$open"; do
    for n in 0 1 2; do
      start "$service$n" "$bin/examples/plain" --listen "127.0.0.1:$(port $place)" \
        --service "$service" --name "$service-$n" --zone "${zones[n]}" \
        --key "$service-target-key" --entries "$(list targets 3)"
      place=$((place + 1))
    done
  done
  until_true "18 warm targets" bash -c "[ \$($bin/bergamotlane --server 127.0.0.1:$(operators 3) \
    --operator-key-file $work/operator.key target list | grep -c warm) -ge 18 ]"
  operate 3 target list

  say "$sheet: a lookup through each entry"
  for n in 1 2 3; do
    call "$n" "$customer-demo-key" "/s/$desk/items/$n?page=1" --fail || fail "lookup through entry $n failed"
    echo
  done
  say "$sheet: an open route without a key"
  curl -sS --fail "http://127.0.0.1:$(callers 1)/s/$open/today" || fail "the request to the open route failed"
  echo
  say "$sheet: a call that must not be repeated, sent twice with the same request ID"
  call 1 "$customer-demo-key" "/s/$ledger/entries" -X POST -H 'x-request-id: demo-1' -d 'strike 7'
  echo
  call 2 "$customer-demo-key" "/s/$ledger/entries" -X POST -H 'x-request-id: demo-1' -d 'strike 7'
  echo
  local runs
  runs=$(for n in 3 4 5; do curl -sS "http://127.0.0.1:$(port $((600 + n)))/audit"; echo; done |
    grep -c '"demo-1":1' || true)
  [ "$runs" = 1 ] || fail "expected the call to run once on one target; $runs targets ran it once"
  echo "the call ran once"
  say "$sheet: a customer without access to the service is refused"
  call 1 "$other-demo-key" "/s/$scorer/x" | tee "$work/refusal"
  echo
  grep -q '"not-allowed"' "$work/refusal" || fail "expected the refusal not-allowed for a customer without access"

  say "$sheet: a streamed completion"
  call 2 "$customer-demo-key" /v1/chat/completions -H 'content-type: application/json' \
    -d "{\"model\":\"$engine\",\"stream\":true,\"max_tokens\":4,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}" |
    tee "$work/stream"
  grep -q 'DONE' "$work/stream" || fail "the stream ended without [DONE]"

  say "$sheet: two training steps, with a weight swap between them"
  timeout 60 "$bin/examples/trainer" --entries "$(list callers 3)" --trainer "$trainer" \
    --key "$trainer-demo-key" --steps 2 --groups 8 --group-size 8 || fail "the trainer received faulty samples or timed out after 60 seconds"

  say "$sheet: withdraw a key"
  operate 3 key withdraw "$customer-1" --wait in-force
  call 1 "$customer-demo-key" "/s/$desk/x" | tee "$work/refusal"
  echo
  grep -q '"key-unknown"' "$work/refusal" || fail "expected the refusal key-unknown for the withdrawn key"

  say "$sheet: pull and restore a zone during lookups"
  "$bin/examples/load" --url "http://127.0.0.1:$(callers 2)/s/$desk/x" --key "$other-demo-key" \
    --concurrency 4 --seconds 4 --rate 200 --name zone-pull >"$work/load" &
  local load=$!
  operate 1 zone pull "$zone-b" --wait in-force
  operate 1 status | grep -E '^(number|pulled)'
  operate 1 zone restore "$zone-b" --wait in-force
  wait "$load"
  cat "$work/load"
  grep -q '"failures":0' "$work/load" || fail "lookups failed while the zone was pulled and restored"

  say "$sheet: usage windows, closed and reported to the platform"
  until_true "a usage report with samples" bash -c "curl -sS http://127.0.0.1:$(port 900)/audit | grep -q '\"samples\":[1-9]'"
  operate 2 usage | tail -n 5
  say "$sheet: graceful shutdown of all daemons"
  for n in 1 2 3; do kill "${daemon_pid[$n]}"; wait "${daemon_pid[$n]}" || fail "daemon $n exited with an error"; done
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"/data*
  say "$sheet: done"
}

which=${1:-both}
if [ "$which" != tallow-ridge ]; then
  demo nilecraft relief-llm proof-desk strike-ledger relief-score mint-status \
    relief-trainer state-mint medal-works cai
fi
if [ "$which" != nilecraft ]; then
  demo tallow-ridge drafting-pool registry-desk cairn-log report-score trail-status \
    report-trainer ranger-north ranger-south piedmont
fi
