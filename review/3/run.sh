#!/bin/sh
# Shows case 3: see claim.txt. Needs target/cranberryspan and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin clock-back target/cranberryspan review/3/record.txt
