#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into build/review-3. They need a C++ compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for source in review/support-3/*.cpp; do
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-3/$(basename "$source" .cpp)" "$source"
done
