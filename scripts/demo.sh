#!/usr/bin/env bash
# Starts a system with scripts/up.sh, runs callers against it and prints their report.
# usage: scripts/demo.sh SETTINGS WORK[,WORK...] [DURATION]
set -euo pipefail
settings=$1
duration=${3:-20s}
flags=()
IFS=, read -ra parts <<<"$2"
for part in "${parts[@]}"; do flags+=(--work "$part"); done
exec "$(dirname "$0")/up.sh" "$settings" standin caller --settings "$settings" --duration "$duration" "${flags[@]}"
