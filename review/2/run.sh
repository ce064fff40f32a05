#!/bin/sh
# Shows case 2: see claim.txt. Needs target/cranberryspan and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin evacuated-zone target/cranberryspan review/2/record.txt
