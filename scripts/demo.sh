#!/usr/bin/env bash
# Starts a whole system from a settings tree on this machine, loads it, prints
# the callers' report and ends every process that it started, by process id.
# usage: scripts/demo.sh SETTINGS WORK[,WORK...] [DURATION]
set -euo pipefail
settings=$1
work=$2
duration=${3:-20s}
bin=$(cd "$(dirname "$0")/.." && pwd)/bin
logs=$(mktemp -d)
pids=()

finish() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$logs"
}
trap finish EXIT

start() {
	local log=$logs/$1.log
	shift
	"$@" >"$log" 2>&1 &
	pids+=($!)
}

start platform "$bin/standin" platform --settings "$settings"
start fabric "$bin/standin" fabric --settings "$settings"
start target "$bin/standin" target --settings "$settings"

# A line of the tree such as "pa-1: {address: A, fabricAddress: B}" is a host.
port=8700
admins=()
while read -r name address fabric_address; do
	port=$((port + 1))
	admins+=("127.0.0.1:$port")
	start "$name" "$bin/cranberryspan" --name "$name" --address "$address" \
		--fabricAddress "$fabric_address" --fabric 127.0.0.1:8500 \
		--platform http://127.0.0.1:8400 --admin "127.0.0.1:$port"
done < <(sed -nE 's/^ +([a-z0-9-]+): \{address: ([0-9.:]+), fabricAddress: ([0-9.:]+).*/\1 \2 \3/p' "$settings")

echo "waiting for ${#admins[@]} hosts; a cell that starts from nothing first outwaits repeatWindow"
for admin in "${admins[@]}"; do
	for _ in $(seq 300); do
		curl --silent --fail "http://$admin/readyz" >/dev/null && continue 2
		sleep 0.2
	done
	echo "host at $admin is not ready" >&2
	cat "$logs"/*.log >&2
	exit 1
done

flags=()
IFS=, read -ra parts <<<"$work"
for part in "${parts[@]}"; do flags+=(--work "$part"); done
"$bin/standin" caller --settings "$settings" --duration "$duration" "${flags[@]}"
