#!/usr/bin/env bash
# Measures the query policy, the control group with usage and membership, or capacity, and writes CSV files to build/measure.
#   ./tools/measure.sh policy [--seed N] [--seeds K] [--case NAME]
#   ./tools/measure.sh control [--seed N]
#   ./tools/measure.sh capacity
set -euo pipefail
cd "$(dirname "$0")/.."
what="${1:-}"
[ "$#" -gt 0 ] && shift
case "$what" in
    policy | control | capacity) ;;
    *)
        sed -n '2,5p' "$0" >&2
        exit 2
        ;;
esac
./tools/build.sh release >/dev/null
mkdir -p build/measure
case "$what" in
    policy) exec build/release/policy_bench --output build/measure/policy.csv "$@" ;;
    control)
        build/release/control_bench --output build/measure/control.csv "$@"
        build/release/usage_bench --output build/measure/usage.csv "$@"
        tail -n +2 build/measure/usage.csv >>build/measure/control.csv
        cat build/measure/control.csv
        ;;
    capacity) exec ./tools/capacity.sh ;;
esac
