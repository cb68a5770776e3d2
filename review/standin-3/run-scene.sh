#!/usr/bin/env bash
# run-scene.sh SCENE CASE-FOLDER: starts the stand-ins of a scene and the
# daemons with the deploy file's command, and ends them all afterwards.
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case couldn't run.
set -u
scene=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE=${TROUBLE:-1}
[ -x target/ebonygrade-poold ] && [ -x target/review-3/stage ] || exit 2
work=$(mktemp -d)
started=()
finish() {
  local process
  for process in "${started[@]}"; do kill -KILL "$process"; done 2>/dev/null
  wait "${started[@]}" 2>/dev/null
  [ -n "${KEEP_LOGS:-}" ] && cp "$work"/*.log "$KEEP_LOGS"
  rm -rf "$work"
}
trap finish EXIT
trap "exit 2" INT TERM
target/review-3/stage "$scene" "$work" "$folder/record.txt" &
stage=$!
started+=("$stage")
for _ in $(seq 100); do
  [ -e "$work/ready" ] && break
  sleep 0.1
done
[ -e "$work/ready" ] || exit 2
for settings in "$work"/*.ini; do
  EBONYGRADE_CONFIG=$settings target/ebonygrade-poold \
    >"${settings%.ini}.log" 2>&1 &
  started+=("$!")
done
wait "$stage"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
