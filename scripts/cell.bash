# Functions that start and stop a small cell on the loopback interface: the
# stand-ins for the platform and the workers, and daemons in two regions.
# Sourced by scripts/demo and testsuite cases; the caller must have run
# set -euo pipefail.
#
#   cell_begin            creates the folder $cell_dir for settings and logs
#   cell_start            starts all processes; sets $cell_addresses
#   cell_roll FILE        puts a bundle in force; the cell is ready afterwards
#   cell_stop             stops the daemons gracefully, then the stand-ins
#   cell_kill             kills all remaining processes; for traps

cell_build=${BUILD_DIR:-build}
cell_platform=$cell_build/standin/platform/standin_platform
cell_workers=$cell_build/standin/worker/standin_workers
cell_daemon=$cell_build/src/ebonygraded/ebonygraded
cell_tool=$cell_build/src/ebonygrade/ebonygrade

cell_pids=()         # All processes that were started.
cell_daemon_pids=()  # The daemons among them.
cell_addresses=()    # --address options for the tool.

cell_start_limit_s=30
cell_stop_limit_s=60

cell_begin() {
  cell_dir=$(mktemp -d)
}

# cell_wait_for SECONDS COMMAND...: repeats the command until it succeeds.
cell_wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then return 1; fi
    sleep 0.1
  done
}

# cell_spawn NAME COMMAND...: starts a process; its output goes to files.
cell_spawn() {
  local name=$1
  shift
  "$@" >"$cell_dir/$name.out" 2>"$cell_dir/$name.log" &
  cell_pids+=($!)
}

# cell_listening NAME: prints the IP:PORT that a stand-in listens on.
cell_listening() {
  cell_wait_for "$cell_start_limit_s" grep -q '^listening ' \
    "$cell_dir/$1.out" || { cat "$cell_dir/$1.log" >&2; return 1; }
  sed -n 's/^listening //p' "$cell_dir/$1.out"
}

cell_port_is_free() {
  ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

# Prints a free port below the system's ephemeral port range.
cell_free_port() {
  local port
  while true; do
    port=$((20000 + RANDOM % 10000))
    if cell_port_is_free "$port"; then break; fi
  done
  echo "$port"
}

# cell_post ADDRESS TARGET BODY: an HTTP POST; fails if the reply isn't 200.
cell_post() {
  local reply
  exec 3<>"/dev/tcp/${1%:*}/${1#*:}"
  printf 'POST %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n' "$2" "$1" >&3
  printf 'Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' \
    "${#3}" "$3" >&3
  reply=$(head -n 1 <&3)
  exec 3>&-
  [[ $reply == *' 200 '* ]] || { echo "$2: $reply" >&2; return 1; }
}

# cell_add_daemon ID ZONE: writes the daemon's settings, adds it to the list of
# VMs and starts it.
cell_add_daemon() {
  local id=$1 zone=$2 http peer
  http=127.0.0.1:$(cell_free_port)
  peer=127.0.0.1:$(cell_free_port)
  cat >"$cell_dir/$id.ini" <<INI
[daemon]
id = $id
zone = $zone
http_address = $http
peer_address = $peer

[cell]
name = demo
regions = sofia, plovdiv
shards_per_region = 4

[region.sofia]
zones = sofia-a, sofia-b

[region.plovdiv]
zones = plovdiv-a

[platform]
log_address = $cell_platform_address
list_address = $cell_platform_address
appends_per_second = 80
INI
  cell_post "$cell_platform_address" /v1/list/daemons \
    "{\"id\":\"$id\",\"zone\":\"$zone\",\"http_address\":\"$http\",\
\"peer_address\":\"$peer\"}"
  cell_spawn "$id" "$cell_daemon" --config "$cell_dir/$id.ini"
  cell_daemon_pids+=($!)
  cell_addresses+=("--address=$http")
}

cell_start() {
  cell_spawn platform "$cell_platform" --appends-per-second 400
  cell_platform_address=$(cell_listening platform)
  cell_spawn workers-sofia "$cell_workers" --prefix s --count 32 \
    --zones sofia-a,sofia-b --platform "$cell_platform_address" \
    --ledger "$cell_dir/sofia.json"
  cell_spawn workers-plovdiv "$cell_workers" --prefix p --count 16 \
    --zones plovdiv-a --platform "$cell_platform_address" \
    --ledger "$cell_dir/plovdiv.json"
  cell_listening workers-sofia >/dev/null
  cell_listening workers-plovdiv >/dev/null
  cell_add_daemon entry-1 sofia-a
  cell_add_daemon entry-2 sofia-b
  cell_add_daemon entry-3 plovdiv-a
  cell_add_daemon entry-4 plovdiv-a
  cell_wait_for "$cell_start_limit_s" cell_answers ||
    { echo "the daemons do not answer; see $cell_dir" >&2; return 1; }
}

# cell_roll FILE: puts a bundle in force and waits until the cell is ready.
cell_roll() {
  local version
  version=$("$cell_tool" bundle publish "$1" --as ana --json \
    "${cell_addresses[@]}" | sed -n 's/.*"version":"\([0-9]*\)".*/\1/p')
  "$cell_tool" bundle approve "$version" --as ivo "${cell_addresses[@]}" \
    >/dev/null
  "$cell_tool" bundle roll "$version" --as ana "${cell_addresses[@]}" >/dev/null
  cell_wait_for "$cell_start_limit_s" cell_is_ready ||
    { echo "the cell is not ready; see $cell_dir" >&2; return 1; }
}

# Whether every daemon replies.
cell_answers() {
  local count
  count=$("$cell_tool" cell --json "${cell_addresses[@]}" 2>/dev/null |
    grep -c '"daemon":')
  [ "$count" -eq "${#cell_addresses[@]}" ]
}

# Whether every daemon accepts requests and every shard is served by its owner.
cell_is_ready() {
  local all
  all=$("$cell_tool" cell --json "${cell_addresses[@]}" 2>/dev/null)
  [ "$(grep -c '"ready":true' <<<"$all")" -eq "${#cell_addresses[@]}" ] &&
    [ "$(grep -o '"phase":"serving"' <<<"$all" | wc -l)" -eq 8 ]
}

# cell_wait_end LIMIT PID: waits for the process to end; fails if it doesn't.
cell_wait_end() {
  local end=$((SECONDS + $1))
  while kill -0 "$2" 2>/dev/null; do
    if [ "$SECONDS" -ge "$end" ]; then return 1; fi
    sleep 0.1
  done
}

# cell_end_process LIMIT PID: sends SIGTERM, waits, and returns the exit code.
# Kills the process and fails if it doesn't end in time.
cell_end_process() {
  kill -TERM "$2" 2>/dev/null || true
  if ! cell_wait_end "$1" "$2"; then
    echo "process $2 did not end within $1 s" >&2
    kill -KILL "$2" 2>/dev/null || true
    wait "$2" 2>/dev/null || true
    return 1
  fi
  wait "$2"
}

# Stops the daemons one after the other, then the stand-ins. Fails if a process
# does not end with success.
cell_stop() {
  local pid failed=0
  for pid in "${cell_daemon_pids[@]}"; do
    cell_end_process "$cell_stop_limit_s" "$pid" || failed=1
  done
  for pid in "${cell_pids[@]}"; do
    [[ " ${cell_daemon_pids[*]} " == *" $pid "* ]] && continue
    cell_end_process 10 "$pid" || failed=1
  done
  cell_pids=()
  cell_daemon_pids=()
  return "$failed"
}

cell_kill() {
  local pid
  for pid in ${cell_pids[@]+"${cell_pids[@]}"}; do
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  cell_pids=()
}

# cell_ledger FIELD: prints the sum of a field over the workers' ledgers.
cell_ledger() {
  sed -n "s/.*\"$1\":\"\([0-9]*\)\".*/\1/p" "$cell_dir"/sofia.json \
    "$cell_dir"/plovdiv.json | awk '{ sum += $1 } END { print sum + 0 }'
}
