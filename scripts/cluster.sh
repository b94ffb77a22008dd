# Functions that start the daemons and stand-ins of one deployment. All processes started
# are ended by PID when the shell exits. Sourced by demo.sh and measure.sh.
#
# Environment: PROFILE (cargo profile, default debug), BASE_PORT (first port, default 17400),
# WINDOW_MS (usage window, default 2000), THREADS (threads of a daemon, default 2).

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
profile=${PROFILE:-debug}
bin="$root/target/$profile"
base=${BASE_PORT:-17400}
work=$(mktemp -d)
pids=()

cleanup() {
  local status=$?
  set +e
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$work"
  exit "$status"
}
trap cleanup EXIT

# start LOG COMMAND...: starts a process in the background, appends its output to LOG.log and
# sets $started to its PID.
start() {
  local log=$1
  shift
  "$@" >>"$work/$log.log" 2>&1 &
  started=$!
  pids+=("$started")
}

# Ports: daemon N has the four ports from BASE_PORT + 10 * N, for callers, targets, peers and
# operators; the stand-ins use BASE_PORT + 500 and above.
port() { echo $((base + $1)); }
callers() { port $((10 * $1)); }
targets() { port $((10 * $1 + 1)); }
peers() { port $((10 * $1 + 2)); }
operators() { port $((10 * $1 + 3)); }

# list FUNCTION COUNT: addresses of daemons 1 to COUNT, comma-separated. FUNCTION selects the
# port: callers, targets, peers or operators.
list() {
  local text=""
  for n in $(seq 1 "$2"); do text="$text,127.0.0.1:$($1 "$n")"; done
  echo "${text#,}"
}

# start_daemon N ZONE COUNT [OPTION...]: starts daemon N of COUNT. The first three have disks
# and are the seeds.
start_daemon() {
  local n=$1 zone=$2 count=$3
  shift 3
  local disk=()
  [ "$n" -le 3 ] && disk=(--data "$work/data$n")
  local seeds=$(( count < 3 ? count : 3 ))
  start "daemon$n" "$bin/bergamotlaned" --name "entry$n" --zone "$zone" "${disk[@]}" \
    --peers "127.0.0.1:$(peers "$n")" --seeds "$(list peers "$seeds")" \
    --callers "127.0.0.1:$(callers "$n")" --targets "127.0.0.1:$(targets "$n")" \
    --operators "127.0.0.1:$(operators "$n")" \
    --cluster-key-file "$work/cluster.key" --operator-key-file "$work/operator.key" \
    --founder entry1 --voters "$seeds" --platform "127.0.0.1:$(port 900)" \
    --window-ms "${WINDOW_MS:-2000}" --drain-ms 200 --threads ${THREADS:-2} "$@"
  daemon_pid[$n]=$started
}

write_keys() {
  printf 'demo-cluster-key-%s\n' "$RANDOM$RANDOM$RANDOM" >"$work/cluster.key"
  printf 'demo-operator-key-%s\n' "$RANDOM$RANDOM$RANDOM" >"$work/operator.key"
}

# operate N COMMAND...: runs a command of the command line against daemon N.
operate() {
  local n=$1
  shift
  "$bin/bergamotlane" --server "127.0.0.1:$(operators "$n")" \
    --operator-key-file "$work/operator.key" "$@"
}

# call N KEY PATH [CURL OPTION...]: sends a request to daemon N as the caller with KEY.
call() {
  local n=$1 key=$2 path=$3
  shift 3
  curl -sS --max-time 20 -H "authorization: Bearer $key" "$@" "http://127.0.0.1:$(callers "$n")$path"
}

# until_true WHAT COMMAND...: repeats a command until it succeeds. After 30 seconds, prints the
# end of the daemons' logs and exits with status 1; WHAT names the condition in the message.
until_true() {
  local what=$1
  shift
  local end=$((SECONDS + 30))
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then
      echo "cluster: timed out after 30 seconds waiting for $what" >&2
      tail -n 20 "$work"/daemon*.log >&2
      exit 1
    fi
    sleep 0.05
  done
}

is_formed() { operate 1 status | grep -Eq '^formed +yes'; }
is_ready() { curl -sf "http://127.0.0.1:$(operators "$1")/readyz"; }
