#!/usr/bin/env bash
# build-2.sh: builds the stand-ins of the cases 4 and 5 into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local GOPROXY=off go build -o ../../target/review-rig .
