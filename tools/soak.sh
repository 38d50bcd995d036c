#!/usr/bin/env bash
# Soak test: runs the real programs as separate processes on loopback under external faults. Ends with "N passed, N failed".
# Usage: soak.sh [--seeds N] [--first SEED] [--minutes M] [--without-notice]; with --minutes, random seeds run until the time is over.
# Seeds in tools/soak-seeds.txt have failed before and run first, unless --first is given.
set -uo pipefail
cd "$(dirname "$0")/.."
seeds=3
first=""
minutes=0
options=()
while [ "$#" -gt 0 ]; do
    case "$1" in
    --seeds) seeds="$2" ;;
    --first) first="$2" ;;
    --minutes) minutes="$2" ;;
    --without-notice)
        options=(--without-notice)
        shift
        continue
        ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
    esac
    shift 2
done
./tools/build.sh >/dev/null || { echo "the build failed"; echo "0 passed, 1 failed"; exit 1; }
passed=0
failed=0
run() {
    local line
    ./build/release/soak --programs build/release --folder build/soak --first "$1" --seeds "$2" --seconds "${3:-10}" "${options[@]}" | tee build/soak.log
    line="$(grep -E '^[0-9]+ passed, [0-9]+ failed$' build/soak.log | tail -1)"
    if [ -z "$line" ]; then
        failed=$((failed + 1))
        return
    fi
    passed=$((passed + ${line%% *}))
    line="${line#*, }"
    failed=$((failed + ${line%% *}))
}
if [ "$minutes" -gt 0 ]; then
    until=$((SECONDS + minutes * 60))
    while [ "$SECONDS" -lt "$until" ]; do
        run "$((RANDOM * 32768 + RANDOM + 100000))" 1
    done
else
    if [ -z "$first" ]; then
        while read -r seed _; do
            case "$seed" in '' | '#'*) continue ;; esac
            run "$seed" 1
        done <tools/soak-seeds.txt
    fi
    run "${first:-1}" "$seeds"
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
