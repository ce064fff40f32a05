#!/usr/bin/env bash
# Starts a complete system from a settings tree on this machine and runs a command
# against it or, without a command, waits for an interrupt. At the end it kills every
# process that it started, by process ID. The environment variable PID of the command
# is the process ID of the first host.
# usage: scripts/up.sh SETTINGS [COMMAND...]
set -euo pipefail
settings=$1
shift
bin=$(cd "$(dirname "$0")/.." && pwd)/bin
export PATH=$bin:$PATH
logs=$(mktemp -d)
pids=()

finish() {
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$logs"
}
trap finish EXIT
trap 'exit 130' INT TERM

start() {
	local log=$logs/$1.log
	shift
	"$@" >"$log" 2>&1 &
	pids+=($!)
}

start platform standin platform --settings "$settings"
start fabric standin fabric --settings "$settings"
# shellcheck disable=SC2086
start target standin target --settings "$settings" ${TARGET_FLAGS:-}

# Hosts are the lines of the tree of the form "pa-1: {address: A, fabricAddress: B}".
port=8700
names=()
admins=()
while read -r name address fabric_address; do
	port=$((port + 1))
	names+=("$name")
	admins+=("127.0.0.1:$port")
	start "$name" cranberryspan --name "$name" --address "$address" \
		--fabricAddress "$fabric_address" --fabric 127.0.0.1:8500 \
		--platform http://127.0.0.1:8400 --admin "127.0.0.1:$port"
	if [ "${#names[@]}" -eq 1 ]; then export PID=${pids[-1]}; fi
	echo "$name: process ${pids[-1]}, admin 127.0.0.1:$port"
done < <(sed -nE 's/^ +([a-z0-9-]+): \{address: ([0-9.:]+), fabricAddress: ([0-9.:]+).*/\1 \2 \3/p' "$settings")

echo "waiting until ${#admins[@]} hosts are ready; a cell that starts from nothing first outwaits exchangeLifetime"
for admin in "${admins[@]}"; do
	tries=0
	until curl --silent --fail "http://$admin/readyz" >/dev/null; do
		tries=$((tries + 1))
		if [ "$tries" -eq 300 ]; then
			echo "host at $admin is not ready" >&2
			cat "$logs"/*.log >&2
			exit 1
		fi
		sleep 0.2
	done
done

if [ $# -gt 0 ]; then
	"$@"
else
	echo "ready; interrupt to end"
	while true; do sleep 1; done
fi
