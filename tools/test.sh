#!/usr/bin/env bash
# Installs missing packages, builds and runs all tests. Ends with "N passed, N failed".
# Tests listed in KNOWN-RED.txt ("test: <program>/<suite>/<case>") are printed but neither run nor counted.
set -uo pipefail
cd "$(dirname "$0")/.."
preset="${1:-release}"
./tools/build.sh "$preset" || { echo "the build failed"; echo "0 passed, 1 failed"; exit 1; }

build="build/$preset"
logs="$build/test-logs"
mkdir -p "$logs"
known_red=()
if [ -f KNOWN-RED.txt ]; then
    mapfile -t known_red < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi

# Runs each test program once, at most four at a time, since tests with time limits need processor time.
run_program() {
    local program="$1" name filters=() red
    name="$(basename "$program")"
    shift
    for red in "$@"; do
        [ "${red%%/*}" = "$name" ] && filters+=("--run_test=!${red#*/}")
    done
    timeout 240 "$program" "${filters[@]}" --report_level=short --log_level=error --color_output=no >"$logs/$name.log" 2>&1
    echo "$?" >"$logs/$name.rc"
}
export -f run_program
export logs
mapfile -t programs < <(find "$build" -maxdepth 1 -name 'test_*' -type f -executable | sort)
printf '%s\n' "${programs[@]}" | xargs -P 4 -I{} bash -c 'run_program "$@"' _ {} "${known_red[@]}"

passed=0
failed=0
for program in "${programs[@]}"; do
    name="$(basename "$program")"
    log="$logs/$name.log"
    ok="$(sed -n 's/^ *\([0-9]*\) test cases\{0,1\} out of [0-9]* passed.*/\1/p' "$log" | head -1)"
    bad="$(sed -n 's/^ *\([0-9]*\) test cases\{0,1\} out of [0-9]* failed.*/\1/p' "$log" | head -1)"
    ok="${ok:-0}"
    bad="${bad:-0}"
    if [ "$(cat "$logs/$name.rc")" -ne 0 ] && [ "$bad" -eq 0 ]; then
        bad=1
    fi
    echo "$name: $ok passed, $bad failed"
    if [ "$bad" -ne 0 ]; then
        tail -n 60 "$log"
    fi
    passed=$((passed + ok))
    failed=$((failed + bad))
done

for red in "${known_red[@]}"; do
    echo "known red, not counted: $red"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
