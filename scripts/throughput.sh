#!/usr/bin/env bash
# Measures one host on this machine: the number of checks per second through it, and
# the latency that it adds compared with a run of the same callers directly against
# the targets, in the same minute.
# usage: scripts/throughput.sh [FLOWS] [DURATION]
set -euo pipefail
cd "$(dirname "$0")/.."
flows=${1:-64}
duration=${2:-10s}
tree=$(mktemp --suffix .yaml)
trap 'rm -f "$tree"' EXIT
cat >"$tree" <<TREE
version: 1
peerKeys: [a-key-for-measuring]
defaults: {exchangeLifetime: 1s, slots: 1000, queueLength: 1000}
regions:
  one:
    returnPrefix: fd00:9::/64
    availabilityZones:
      z:
        hosts:
          only: {address: 127.0.60.1:7000, fabricAddress: 127.0.60.1:7001}
    services:
      echo:
        id: 1
        tenant: measure
        address: 127.0.60.2:5683
        targets:
          echo-1: {availabilityZone: z, address: 127.0.60.11:5683}
          echo-2: {availabilityZone: z, address: 127.0.60.12:5683}
TREE
load="standin caller --settings $tree --work checks:echo:$flows --think 0s --duration $duration --json"
TARGET_FLAGS="--work 0s" scripts/up.sh "$tree" bash -euc "
	for way in --direct '' --direct ''; do
		echo \"\${way:-through one host}\"
		$load \$way 2>/dev/null | tr ',{' '\n\n' | grep -E '\"(started|answered|lost|medianUs|p99Us)\"' | tr '\n' ' '
		echo
	done
	ps -o pid,time,rss,args -p \$PID | cut -c1-60
"
