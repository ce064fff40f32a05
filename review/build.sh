#!/bin/sh
# Builds the stand-in that the cases' scripts start.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off go build -o ../../target/review-standin .
