#!/usr/bin/env bash
# Builds and demonstrates a small system on loopback: two owners, two data centres each, three control instances and two entry
# instances per owner, with stand-ins for the backend servers and the platform. Takes under a minute after the build.
set -uo pipefail
cd "$(dirname "$0")/.."
./tools/build.sh >/dev/null || exit 1
run="$PWD/build/example"
bin="$PWD/build/release"
. tools/system.sh
trap stop_all EXIT

failures=0
fail() {
    echo "FAILED: $*"
    failures=$((failures + 1))
}
step() { echo; echo "== $*"; }

# Prints the snapshot and coverage of an answer, or the refusal. Fails if the HTTP status differs from the expected one.
show() {
    local expected="$1" answer="$2" status body
    status="${answer##*$'\n'}"
    body="${answer%$'\n'*}"
    if [ "$status" = 200 ]; then
        echo "answer: snapshot $(grep -o '"snapshot":"\{0,1\}[0-9]*' <<<"$body" | head -1 | grep -o '[0-9]*$')," \
            "coverage $(printf '%.4g' "$(grep -o '"fraction":[0-9.E+-]*' <<<"$body" | head -1 | cut -d: -f2)")," \
            "$(grep -o '"shard":' <<<"${body#*\"coverage\"}" | wc -l) shards named, ${#body} bytes"
    else
        echo "HTTP $status: $body"
    fi
    [ "$status" = "$expected" ] || fail "expected HTTP $expected"
}

step "Starting backend servers, the platform, 6 control and 4 entry instances"
prepare_system || { fail "the stand-ins did not start"; exit 1; }
for name in "${controls[@]}"; do start_control "$name"; done
for owner in "${owners[@]}"; do wait_for 15 leader_of "$owner" || fail "$owner has no control leader"; done
for name in "${entries[@]}"; do start_entry "$name"; done

step "Creating classes: urgent and ordinary searches, and requests that run at most once"
operator nile class set design --collection catalogue --percentile 0.99 --latency-ms 300 --minimum-coverage 0.9 || fail "design"
operator nile class set order-history --collection orders --percentile 0.95 --latency-ms 2000 || fail "order-history"
operator nile class set order-check --collection orders --percentile 0.95 --latency-ms 2000 --at-most-once || fail "order-check"
operator stone class set stone-safety --collection safety --percentile 0.99 --latency-ms 500 --minimum-coverage 1 || fail "stone-safety"
operator stone class set visit-log --collection visits --percentile 0.95 --latency-ms 2000 --at-most-once --wait || fail "visit-log"
for name in "${entries[@]}"; do wait_for 20 is_ready "$name" || fail "$name is not ready"; done

step "An urgent design search over 20 shards, through nile-e1"
show 200 "$(query nile-e1 '{"class":"design","deadline_ms":3000,"query":{"text":"hutch with ramp"}}')"
step "A stone safety check, through stone-e2"
show 200 "$(query stone-e2 '{"class":"stone-safety","deadline_ms":3000,"query":{"stone":"bronze"}}')"
step "An ordinary search of the order history, through nile-e2"
show 200 "$(query nile-e2 '{"class":"order-history","deadline_ms":3000,"query":{"customer":17}}')"

step "An order check that may run only once, then the same id through another entry instance"
order="{\"class\":\"order-check\",\"deadline_ms\":3000,\"request_id\":\"order-4711\",\"issued_at_ms\":$(now_ms),\"query\":{\"order\":4711}}"
show 200 "$(query nile-e1 "$order")"
show 409 "$(query nile-e2 "$order")"
echo "backend servers ran it $(runs_of order-4711) times"
[ "$(runs_of order-4711)" = 1 ] || fail "the order check did not run exactly once"

step "An operator of stone may not change a class of nile"
sed "s/^owner = .*/owner = \"nile\"/; s#operator-nile.token#operator-stone.token#" "$run/operator-nile.toml" | sed "s#token_file = .*#token_file = \"$run/keys/operator-stone.token\"#" >"$run/operator-wrong.toml"
operator wrong class set design --latency-ms 1 && fail "another owner's class was changed"

step "Changing the target of design and waiting until it is in force everywhere"
operator nile class set design --latency-ms 250 --wait || fail "the change was not accepted"
operator nile class show design || fail "show"
operator nile where design || fail "where"
show 200 "$(query nile-e2 '{"class":"design","deadline_ms":3000,"query":{"text":"after the change"}}')"

step "Status of all control instances"
operator nile status || fail "status"

step "The usage bill, recomputed and compared with the ledger of the other owner"
usage_is_billed() { get nile-c1 /v1/usage/bill | grep -q '"caused_by"'; }
wait_for 15 usage_is_billed || fail "no usage reached the ledger"
operator nile verify || fail "the usage ledger is not sound"

step "Timeline of the class design"
operator nile timeline --class design | tail -8
operator nile timeline --html "$run/timeline.html" || fail "timeline"

step "Stopping gracefully"
for name in "${entries[@]}" "${controls[@]}"; do
    stop "$name" || fail "$name ended with exit code $?"
done
stop_all
echo
if [ "$failures" -eq 0 ]; then
    echo "The example is complete; settings, data and logs are in build/example."
else
    echo "$failures steps failed; logs are in build/example/logs."
fi
[ "$failures" -eq 0 ]
