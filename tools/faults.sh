#!/usr/bin/env bash
# Injects faults into real processes on loopback: kills, freezes, lost disks, cut links and graceful stops under load.
# Usage: faults.sh [FAULT...]; without names all run. Ends with "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
./tools/build.sh >/dev/null || { echo "the build failed"; echo "0 passed, 1 failed"; exit 1; }
run="$PWD/build/faults"
bin="$PWD/build/release"
proxied=1
. tools/system.sh
# Two entry instances of nile share a data centre, so that one can fetch its configuration from the other.
centre_of[nile-e2]=cairo-1
trap stop_all EXIT

problems=0
problem() {
    echo "  problem: $*"
    problems=$((problems + 1))
}

version_of() { get "$1" /v1/classes | grep -o '"version":[0-9]*' | head -1 | cut -d: -f2; }
caught_up() { [ "$(get "$1" /v1/status | grep -o '"configuration_version":[0-9]*' | cut -d: -f2)" -ge "$2" ]; }
is_repaired() { get "$1" /v1/status | grep -q '"repairing":false' && is_ready "$1"; }
no_lease() { get "$1" /v1/status | grep -q '"lease_valid":false'; }
other_leader() { local leader; leader="$(leader_of nile)" && [ "$leader" != "$1" ]; }
set_class() { operator nile class set "$1" --collection catalogue --percentile 0.99 --latency-ms "$2" "${@:3}" 2>>"$run/logs/operator.log"; }
accepted_version() { sed -n 's/^accepted: .* version \([0-9]*\)$/\1/p'; }
all_ready() { local name; for name in "${entries[@]}" "${controls[@]}"; do is_ready "$name" || return 1; done; }
settle() { wait_for 20 all_ready || problem "the system did not become ready again"; }

# Body of a request that may run only once.
order() { echo "{\"class\":\"order-check\",\"deadline_ms\":${2:-5000},\"request_id\":\"$1\",\"issued_at_ms\":$(now_ms),\"query\":{\"order\":\"$1\"}}"; }

# Accepted changes survive a kill of the leader that accepted them, each exactly once.
fault_leader_killed_during_changes() {
    local leader before n version after accepted=0
    leader="$(leader_of nile)"
    before="$(version_of "$leader")"
    (for n in $(seq 24); do set_class "kill-$n" 100 --change-id "kill-$n" --expected-version 0 | accepted_version >"$run/kill-$n"; done) &
    local changes=$!
    wait_for 20 test -s "$run/kill-8" || problem "no change was accepted before the kill"
    stop "$leader" KILL
    wait "$changes"
    start_control "$leader"
    wait_for 20 leader_of nile || problem "no leader afterwards"
    for n in $(seq 24); do
        version="$(cat "$run/kill-$n")"
        [ -n "$version" ] || { problem "kill-$n was not accepted"; continue; }
        accepted=$((accepted + 1))
        operator nile class show "kill-$n" | grep -q "version $version " || problem "kill-$n is not at version $version"
        [ "$(set_class "kill-$n" 100 --change-id "kill-$n" --expected-version 0 | accepted_version)" = "$version" ] || problem "kill-$n resent had another outcome"
    done
    after="$(version_of "$(leader_of nile)")"
    [ "$after" = $((before + accepted)) ] || problem "version $before became $after with $accepted accepted changes"
    echo "  $accepted changes accepted around the kill of $leader"
}

# A frozen leader gives up its lease and never presents its old state as the newest.
fault_leader_frozen() {
    local leader new answers=0 n
    leader="$(leader_of nile)"
    kill -STOP "${process_id[$leader]}"
    wait_for 20 other_leader "$leader" || problem "no other leader while $leader is frozen"
    new="$(set_class frozen 100 | accepted_version)"
    [ -n "$new" ] || problem "the change was not accepted"
    # These requests wait in the frozen process and are answered as soon as it runs again.
    for n in $(seq 5); do get "$leader" /v1/classes >"$run/frozen-$n" & done
    sleep 0.3
    kill -CONT "${process_id[$leader]}"
    for n in $(seq 6 40); do get "$leader" /v1/classes >"$run/frozen-$n"; done
    wait_for 10 test -s "$run/frozen-5"
    sleep 0.2
    for n in $(seq 40); do
        grep -q '"newest":true' "$run/frozen-$n" || continue
        answers=$((answers + 1))
        [ "$(grep -o '"version":[0-9]*' "$run/frozen-$n" | head -1 | cut -d: -f2)" -ge "$new" ] || problem "a stale answer was called the newest"
    done
    wait_for 10 caught_up "$leader" "$new" || problem "$leader did not catch up"
    echo "  $leader frozen; 40 answers afterwards, $answers of them called the newest"
}

# A replica that lost its disk is repaired; then another one may be lost without losing a change.
fault_disk_lost() {
    local leader follower name before after
    set_class disk 100 >/dev/null || problem "the first change was not accepted"
    leader="$(leader_of nile)"
    for name in nile-c1 nile-c2 nile-c3; do [ "$name" = "$leader" ] || follower="$name"; done
    stop "$follower" KILL
    rm -rf "$run/data/$follower"
    start_control "$follower"
    wait_for 20 is_repaired "$follower" || problem "$follower was not repaired"
    before="$(version_of "$(leader_of nile)")"
    stop "$leader" KILL
    wait_for 20 leader_of nile || problem "no leader after the loss of a second replica"
    after="$(version_of "$(leader_of nile)")"
    [ "$after" = "$before" ] || problem "version $before became $after"
    set_class disk 101 >/dev/null || problem "no change is accepted after the loss of a second replica"
    start_control "$leader"
    echo "  $follower lost its disk and was repaired, then $leader was killed"
}

# A leader that is cut off from its group refuses changes, and the others elect another leader. The old leader catches up after the
# links are restored.
fault_leader_cut_off() {
    local leader new status
    leader="$(leader_of nile)"
    set_links "${1:-drop}" "^$leader>nile-c./group|>$leader/group"
    wait_for 3 no_lease "$leader" || problem "$leader kept its lease"
    wait_for 20 other_leader "$leader" || problem "the others elected no leader"
    new="$(set_class cut-off 100 | accepted_version)"
    [ -n "$new" ] || problem "the others accepted no change"
    status="$(get "$leader" /v1/classes/cut-off -X PUT -d '{"target":{"collection":"catalogue","percentile":0.9,"latency_ms":5,"minimum_coverage":1,"repeatable":true},"expected_version":0,"change_id":"from-the-cut-side"}' -w '%{http_code}')"
    grep -q '503$' <<<"$status" || problem "$leader answered $status"
    grep -q '"newest":true' <<<"$(get "$leader" /v1/classes)" && problem "$leader calls its state the newest"
    set_links pass '^$'
    wait_for 20 caught_up "$leader" "$new" || problem "$leader did not catch up"
    echo "  $leader cut off (${1:-drop}); $(grep -o '"run":"[a-z_]*"' <<<"$status")"
}

fault_leader_silent() { fault_leader_cut_off hold; }

# A request that runs when its entry instance is killed does not run again when it is resent elsewhere.
fault_entry_killed_with_request() {
    local answer
    set_backends '{"collection":"orders","set":{"service_time_ms":1500}}'
    query nile-e1 "$(order killed-1)" >"$run/killed-1" &
    wait_for 10 test_runs killed-1 || problem "the request did not start"
    stop nile-e1 KILL
    answer="$(query nile-e2 "$(order killed-1)")"
    grep -q '"run":"may_have_run"' <<<"$answer" || problem "the resent request was answered $answer"
    set_backends '{"collection":"orders","set":{"service_time_ms":4}}'
    sleep 2
    [ "$(runs_of killed-1)" = 1 ] || problem "the request ran $(runs_of killed-1) times"
    start_entry nile-e1
    echo "  resent: $(head -1 <<<"$answer")"
}
test_runs() { [ "$(runs_of "$1")" -ge 1 ]; }

# An entry instance that starts without any control instance fetches the configuration from a ready
# entry instance. If there is none of either, it refuses queries.
fault_entry_restarted_while_cut() {
    local new answer
    new="$(operator nile class set design --latency-ms $((250 + RANDOM % 100)) --wait 2>/dev/null | accepted_version)"
    set_links cut '^nile-e./|^nile-e.>'
    stop nile-e1
    start_entry nile-e1
    wait_for 15 is_ready nile-e1 || problem "nile-e1 did not start from nile-e2"
    query nile-e1 '{"class":"design","deadline_ms":3000,"query":{}}' | tail -1 | grep -q 200 || problem "nile-e1 does not answer"
    stop nile-e1
    stop nile-e2
    start_entry nile-e1
    start_entry nile-e2
    sleep 3
    is_ready nile-e1 && problem "nile-e1 is ready without a configuration"
    answer="$(query nile-e1 '{"class":"design","deadline_ms":3000,"query":{}}')"
    grep -q '"run":"not_run"' <<<"$answer" || problem "nile-e1 answered $answer"
    set_links pass '^$'
    settle
    echo "  from a peer: ready; without one: $(head -1 <<<"$answer")"
}

# One caller: takes a ready entry instance for each request, as a load balancer does, and counts what is not answered with 200.
caller() {
    local n=0 bad=0 name answer body
    while [ ! -e "$run/load.stop" ]; do
        n=$((n + 1))
        name="nile-e$((1 + (n + $1) % 2))"
        is_ready "$name" || name="nile-e$((1 + (n + $1 + 1) % 2))"
        body='{"class":"design","deadline_ms":5000,"query":{"n":'$n'}}'
        [ $((n % 2)) = 0 ] && body="$(order "load-$BASHPID-$n")"
        answer="$(query "$name" "$body")"
        [ "${answer##*$'\n'}" = 200 ] || { bad=$((bad + 1)); echo "$name: $body -> $answer" >>"$run/load.failed"; }
    done
    echo "$n $bad" >>"$run/load.counts"
}

# Every kind of process stops gracefully under load without a failed request.
fault_graceful_stops_under_load() {
    local callers=() n name leader
    rm -f "$run"/load.*
    : >"$run/load.failed"
    for n in 1 2 3 4; do caller "$n" & callers+=($!); done
    sleep 1
    leader="$(leader_of nile)"
    for name in nile-e1 nile-e2 "$leader" nile-c1 nile-c2 nile-c3; do
        stop "$name" || problem "$name ended with exit code $?"
        if [ "${name#nile-e}" = "$name" ]; then start_control "$name"; else start_entry "$name"; fi
        settle
    done
    touch "$run/load.stop"
    wait "${callers[@]}"
    local requests failed
    requests="$(awk '{ n += $1 } END { print n }' "$run/load.counts")"
    failed="$(awk '{ n += $2 } END { print n }' "$run/load.counts")"
    [ "$failed" = 0 ] || { problem "$failed of $requests requests failed"; head -3 "$run/load.failed"; }
    echo "  $requests requests during 6 graceful stops, $failed failed"
}

# After all faults the usage ledgers pass verification; usage that was lost with a killed instance is reported as a gap.
fault_account_after_faults() {
    local report
    query nile-e1 '{"class":"stone-safety","deadline_ms":3000,"query":{}}' >/dev/null
    sleep 2
    report="$(operator nile verify 2>&1)" || problem "$report"
    echo "  $(tail -1 <<<"$report"), $(grep -c '^gap' <<<"$report") gaps"
}

prepare_system || { echo "the stand-ins did not start"; echo "0 passed, 1 failed"; exit 1; }
for name in "${controls[@]}"; do start_control "$name"; done
for owner in "${owners[@]}"; do wait_for 20 leader_of "$owner"; done
for name in "${entries[@]}"; do start_entry "$name"; done
set_class design 300 --minimum-coverage 0.5 >/dev/null
operator nile class set order-check --collection orders --percentile 0.95 --latency-ms 3000 --at-most-once >/dev/null
operator stone class set stone-safety --collection safety --percentile 0.99 --latency-ms 500 >/dev/null
settle

faults=("$@")
[ "$#" -gt 0 ] || faults=(leader_killed_during_changes leader_frozen disk_lost leader_cut_off leader_silent entry_killed_with_request
    entry_restarted_while_cut graceful_stops_under_load account_after_faults)
passed=0
failed=0
for fault in "${faults[@]}"; do
    echo "$fault"
    problems=0
    began="$SECONDS"
    "fault_$fault"
    set_links pass '^$'
    settle
    if grep -qx "test: faults/$fault" KNOWN-RED.txt 2>/dev/null; then
        echo "  known red, not counted: faults/$fault"
    elif [ "$problems" -eq 0 ]; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
    fi
    echo "  $([ "$problems" -eq 0 ] && echo passed || echo FAILED) after $((SECONDS - began)) s"
done
stop_all
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
