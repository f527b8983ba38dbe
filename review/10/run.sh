#!/bin/sh
# Case 10 of the second review: see claim.txt. With TROUBLE=0 without the disruption.
cd "$(dirname "$0")/../.." || exit 2
cases=target/review-2/release/review-cases
test -x "$cases" && test -x target/release/sapphirequayd && test -f target/keys/root.pem || exit 2
exec "$cases" memory review/10/record.txt
