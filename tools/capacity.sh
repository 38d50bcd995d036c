#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md quotes and plots the cost of membership. Called by measure.sh capacity.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/measure
mkdir -p "$out"
build/release/usage_bench --output "$out/usage.csv" --seed 1
build/release/control_bench --output "$out/control.csv"
# The processor time of the scenario "calm" includes its fake servers and links, so it is an upper bound for a query.
TIMEFORMAT='%U'
seconds="$({ time build/release/policy_bench --scenarios tests/scenarios/policy --case calm --current-only --threads 1 --seeds 4 \
    --output "$out/capacity_policy.csv" >/dev/null; } 2>&1)"
{
    echo "measure,size,median,worst,unit"
    tail -n +2 "$out/usage.csv"
    tail -n +2 "$out/control.csv"
    echo "policy_calm_processor_time,4,$seconds,$seconds,s"
} >"$out/capacity.csv"
grep membership_bytes "$out/capacity.csv" >"$out/membership_bytes.csv"
gnuplot <<GNUPLOT
set terminal svg size 640,400
set output "$out/membership.svg"
set datafile separator ","
set logscale x
set yrange [0:9000]
set xlabel "instances"
set ylabel "bytes sent a second by one node"
set key left top
plot "$out/membership_bytes.csv" using 2:3 with linespoints title "median", "" using 2:4 with linespoints title "worst", 9000 title "limit"
GNUPLOT
cat "$out/capacity.csv"
