#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review-3/own_503 ] && [ -x target/curranttrail-gateway ] && [ -x target/curranttrail-coordinator ] || exit 2
exec timeout --kill-after=5 110 build/review-3/own_503 review/12/record.txt
