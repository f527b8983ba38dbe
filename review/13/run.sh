#!/bin/sh
# Runs the case from the root of the repository; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-3/review-3 || exit 2
exec target/review-3/review-3 long-reply review/13
