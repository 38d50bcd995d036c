#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the cases 6 to 10 into build/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
compiler="${CXX:-g++}"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/support-2)
"$compiler" "${flags[@]}" -c review/support-2/world.cpp -o build/review-2/world.o
for scenario in review/{6,7,8,9,10}/scenario.cpp; do
    [ -f "$scenario" ] || continue
    "$compiler" "${flags[@]}" "$scenario" build/review-2/world.o -o "build/review-2/case-$(basename "$(dirname "$scenario")")"
done
