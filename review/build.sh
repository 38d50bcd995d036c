#!/usr/bin/env bash
# Builds the scenarios and their stand-ins into target/ beside this file. Needs the compiler only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
options=(-std=c++20 -O1 -Wall -Wextra -pthread -Isupport)
g++ "${options[@]}" -c support/scenario.cpp -o target/scenario.o
for source in [1-5]/scenario.cpp; do
    [ -f "$source" ] || continue
    g++ "${options[@]}" "$source" target/scenario.o -o "target/scenario-${source%%/*}"
done
