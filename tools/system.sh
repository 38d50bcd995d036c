# Functions to run a small system of both owners on loopback. Sourced by example.sh and faults.sh, which set:
#   run     folder for settings, keys, data and logs
#   bin     folder of the programs
#   proxied 1 to put a link that can be cut into every path between processes
# Ends only the processes that it started, by their ids.

declare -A process_id=() port_of=()
owners=(nile stone)
declare -A centre_of=(
    [nile-c1]=cairo-1 [nile-c2]=cairo-2 [nile-c3]=cairo-1 [nile-e1]=cairo-1 [nile-e2]=cairo-2
    [stone-c1]=gauteng-1 [stone-c2]=gauteng-2 [stone-c3]=gauteng-1 [stone-e1]=gauteng-1 [stone-e2]=gauteng-2
)
controls=(nile-c1 nile-c2 nile-c3 stone-c1 stone-c2 stone-c3)
entries=(nile-e1 nile-e2 stone-e1 stone-e2)

owner_of() { echo "${1%%-*}"; }

# Selects ports that nothing listens on, below the range of ephemeral ports.
next_port=$((20000 + RANDOM % 8000))
take_port() {
    while (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do next_port=$((next_port + 1)); done
    port_of[$1]=$next_port
    next_port=$((next_port + 1))
}

start() {
    local name="$1"
    shift
    "$@" >>"$run/logs/$name.log" 2>&1 &
    process_id[$name]=$!
}

# Sends a signal, waits until the process has exited and returns its exit code.
stop() {
    local id="${process_id[$1]:-}"
    [ -n "$id" ] || return 0
    unset "process_id[$1]"
    kill "-${2:-TERM}" "$id" 2>/dev/null
    wait "$id" 2>/dev/null
}

stop_all() {
    local name id
    for name in "${!process_id[@]}"; do
        id="${process_id[$name]}"
        kill -CONT "$id" 2>/dev/null
        kill -TERM "$id" 2>/dev/null
    done
    for name in "${!process_id[@]}"; do
        wait "${process_id[$name]}" 2>/dev/null
        unset "process_id[$name]"
    done
}

# Waits until a command succeeds: wait_for SECONDS COMMAND...
wait_for() {
    local limit=$((SECONDS + $1))
    shift
    while ! "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$limit" ] || return 1
        sleep 0.05
    done
}

secret() { head -c 32 /dev/urandom | od -An -v -tx1 | tr -d ' \n'; }
digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

# The address at which FROM reaches TO; a link if the system is proxied.
link_address() {
    local name="$1>$2/$3"
    if [ "${proxied:-0}" = 1 ]; then
        [ -n "${port_of[$name]:-}" ] || {
            take_port "$name"
            printf '[[links]]\nname = "%s"\nlisten = "127.0.0.1:%s"\nto = "127.0.0.1:%s"\n' "$name" "${port_of[$name]}" "${port_of[$2/$3]}" >>"$run/links.toml"
            echo "$name" >>"$run/links.names"
        }
        echo "127.0.0.1:${port_of[$name]}"
    else
        echo "127.0.0.1:${port_of[$2/$3]}"
    fi
}

# Sets the mode of all links whose name matches a pattern of grep, and lets the others pass.
set_links() {
    { grep -E "$2" "$run/links.names" | sed "s/\$/ $1/"; } >"$run/links.state.new"
    mv "$run/links.state.new" "$run/links.state"
    # The stand-in reads the state every 20 ms.
    sleep 0.1
}

write_control() {
    local name="$1" owner other file="$run/$1.toml" address
    owner="$(owner_of "$name")"
    cat >"$file" <<END
name = "$name"
owner = "$owner"
data_centre = "${centre_of[$name]}"
data_folder = "$run/data/$name"
http = "127.0.0.1:${port_of[$name/http]}"
frames = "127.0.0.1:${port_of[$name/frames]}"
cluster_key_file = "$run/keys/cluster"
bootstrap = true
stop_limit = "5s"
END
    printf '[group]\naddress = "127.0.0.1:%s"\nkey_file = "%s"\n' "${port_of[$name/group]}" "$run/keys/$owner-group" >>"$file"
    for other in "${controls[@]}"; do
        [ "$other" != "$name" ] && [ "$(owner_of "$other")" = "$owner" ] || continue
        link_address "$name" "$other" group >/dev/null
        printf '[[group.peers]]\nname = "%s"\naddress = "%s"\n' "$other" "$(link_address "$name" "$other" group)" >>"$file"
    done
    for other in "${controls[@]}"; do
        [ "$(owner_of "$other")" != "$owner" ] || continue
        link_address "$name" "$other" frames >/dev/null
        printf '[[partners]]\nname = "%s"\nowner = "%s"\naddress = "%s"\n' "$other" "$(owner_of "$other")" "$(link_address "$name" "$other" frames)" >>"$file"
    done
    for other in "${owners[@]}"; do
        printf '[[operators]]\nname = "operator-%s"\nowner = "%s"\ntoken_sha256 = "%s"\n' "$other" "$other" "$(digest "${token[operator-$other]}")" >>"$file"
    done
    printf '[usage]\nkey_file = "%s/keys/%s.key"\n' "$run" "$name" >>"$file"
    for other in "${entries[@]}"; do
        printf '[[usage.instances]]\nname = "%s"\nkey_file = "%s/keys/%s.pub"\n' "$other" "$run" "$other" >>"$file"
    done
    for other in "${controls[@]}"; do
        [ "$other" != "$name" ] || continue
        printf '[[usage.ledgers]]\nname = "%s"\nowner = "%s"\nkey_file = "%s/keys/%s.pub"\n' "$other" "$(owner_of "$other")" "$run" "$other" >>"$file"
    done
}

write_entry() {
    local name="$1" other file="$run/$1.toml" seeds=""
    for other in "${entries[@]}"; do
        [ "$other" = "$name" ] || seeds="$seeds${seeds:+, }\"127.0.0.1:${port_of[$other/frames]}\""
    done
    cat >"$file" <<END
name = "$name"
owner = "$(owner_of "$name")"
data_centre = "${centre_of[$name]}"
http = "127.0.0.1:${port_of[$name/http]}"
frames = "127.0.0.1:${port_of[$name/frames]}"
cluster_key_file = "$run/keys/cluster"
usage_key_file = "$run/keys/$name.key"
platform = "$platform"
seeds = [$seeds]
drain_pause = "300ms"
stop_limit = "10s"
END
    for other in "${controls[@]}"; do
        link_address "$name" "$other" frames >/dev/null
        printf '[[control]]\nname = "%s"\nowner = "%s"\naddress = "%s"\n' "$other" "$(owner_of "$other")" "$(link_address "$name" "$other" frames)" >>"$file"
    done
    for other in "${owners[@]}"; do
        printf '[[callers]]\nname = "caller-%s"\nowner = "%s"\ntoken_sha256 = "%s"\n' "$other" "$other" "$(digest "${token[caller-$other]}")" >>"$file"
    done
}

write_cli() {
    local owner="$1" name file="$run/operator-$1.toml"
    printf '%s\n' "${token[operator-$owner]}" >"$run/keys/operator-$owner.token"
    printf 'owner = "%s"\ntoken_file = "%s/keys/operator-%s.token"\nrequest_timeout = "5s"\ncommand_timeout = "20s"\n' "$owner" "$run" "$owner" >"$file"
    for name in "${controls[@]}"; do
        printf '[[control]]\nname = "%s"\nowner = "%s"\naddress = "127.0.0.1:%s"\n' "$name" "$(owner_of "$name")" "${port_of[$name/http]}" >>"$file"
    done
    for name in "${entries[@]}"; do
        printf '[[entries]]\nname = "%s"\nowner = "%s"\naddress = "127.0.0.1:%s"\n' "$name" "$(owner_of "$name")" "${port_of[$name/http]}" >>"$file"
        printf '[[usage.instances]]\nname = "%s"\nkey_file = "%s/keys/%s.pub"\n' "$name" "$run" "$name" >>"$file"
    done
    for name in "${controls[@]}"; do
        printf '[[usage.ledgers]]\nname = "%s"\nkey_file = "%s/keys/%s.pub"\n' "$name" "$run" "$name" >>"$file"
    done
}

# group OWNER COLLECTION SHARDS REPLICAS CONNECTION_LIMIT OPEN_TIME SERVICE_TIME CENTRE CENTRE
write_group() {
    printf '[[group]]\nowner = "%s"\ncollection = "%s"\nshards = %s\nreplicas = %s\nconnection_limit = %s\nopen_time = "%s"\nservice_time = "%s"\ndata_centres = ["%s", "%s"]\n' "$@" >>"$run/backends.toml"
}

write_backends() {
    echo 'seed = 1' >"$run/backends.toml"
    write_group nile catalogue 20 2 25 6ms 4ms cairo-1 cairo-2
    write_group nile orders 1 8 100 1ms 4ms cairo-1 cairo-2
    write_group stone safety 20 2 25 6ms 4ms gauteng-1 gauteng-2
    write_group stone visits 1 8 40 1ms 4ms gauteng-1 gauteng-2
}

declare -A token=()

# Writes keys and settings and starts the stand-ins for backend servers, the platform and, if proxied, the links.
prepare_system() {
    local name owner
    rm -rf "$run"
    mkdir -p "$run/logs" "$run/keys" "$run/data"
    secret >"$run/keys/cluster"
    for owner in "${owners[@]}"; do
        secret >"$run/keys/$owner-group"
        token[operator-$owner]="$(secret)"
        token[caller-$owner]="$(secret)"
    done
    for name in "${controls[@]}" "${entries[@]}"; do
        take_port "$name/http"
        take_port "$name/frames"
        "$bin/curranttrail" keygen "$run/keys/$name" >/dev/null
    done
    for name in "${controls[@]}"; do take_port "$name/group"; done

    write_backends
    start backends "$bin/backend_stand_in" --settings "$run/backends.toml" --ports-file "$run/backends.ports" --platform-file "$run/platform.toml"
    wait_for 20 test -s "$run/backends.ports" || return 1
    backends="$(sed -n 's/^control=//p' "$run/backends.ports")"
    start platform "$bin/platform_stand_in" --settings "$run/platform.toml" --ports-file "$run/platform.ports"
    wait_for 20 test -s "$run/platform.ports" || return 1
    platform="$(sed -n 's/^platform=//p' "$run/platform.ports")"

    echo "state_file = \"$run/links.state\"" >"$run/links.toml"
    : >"$run/links.names"
    : >"$run/links.state"
    for name in "${controls[@]}"; do write_control "$name"; done
    for name in "${entries[@]}"; do write_entry "$name"; done
    for owner in "${owners[@]}"; do write_cli "$owner"; done
    if [ "${proxied:-0}" = 1 ]; then
        start links "$bin/link_stand_in" --settings "$run/links.toml" --ports-file "$run/links.ready"
        wait_for 20 test -s "$run/links.ready" || return 1
    fi
}

start_control() { start "$1" "$bin/curranttrail-control" "$run/$1.toml"; }
start_entry() { start "$1" "$bin/curranttrail-entry" "$run/$1.toml"; }

operator() { "$bin/curranttrail" "${@:2}" --settings "$run/operator-$1.toml"; }

# get INSTANCE PATH [curl options]: HTTP body of an operator's request.
get() { curl -s -m 5 -H "Authorization: Bearer ${token[operator-$(owner_of "$1")]}" "http://127.0.0.1:${port_of[$1/http]}$2" "${@:3}"; }
is_ready() { curl -sf -m 2 -o /dev/null "http://127.0.0.1:${port_of[$1/http]}/ready"; }
has_newest() { get "$1" /v1/status | grep -q '"newest":true'; }

# Prints the control instance of an owner that leads with a valid lease.
leader_of() {
    local name
    for name in "${controls[@]}"; do
        [ "$(owner_of "$name")" = "$1" ] && has_newest "$name" && echo "$name" && return 0
    done
    return 1
}

# query INSTANCE BODY: prints the answer and, on a second line, the HTTP status (000 without an answer).
query() {
    curl -s -m "${query_limit:-15}" -w '\n%{http_code}\n' -H "Authorization: Bearer ${token[caller-$(owner_of "$1")]}" \
        -H 'Content-Type: application/json' -d "$2" "http://127.0.0.1:${port_of[$1/http]}/v1/query"
}

now_ms() { date +%s%3N; }

# Number of times that backend servers began to run the request id.
runs_of() {
    local runs
    runs="$(curl -s -m 5 "http://$backends/v1/stand-in/runs" | grep -o "\"$1\":[0-9]*" | cut -d: -f2)"
    echo "${runs:-0}"
}

set_backends() { curl -s -m 5 -d "$1" "http://$backends/v1/stand-in" >/dev/null; }
