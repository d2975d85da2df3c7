# shellcheck shell=bash disable=SC2034
# Functions of the cases 4 to 8: nodes of a small deployment as real processes,
# an operator, and the record of a run. Sourced by review/N/run.sh, which sets
# $case_dir and $trouble (0: without the disruption) first.

root=$(cd "$case_dir/../.." && pwd)
program=$root/target/ridgeridge
stand_ins=$root/target/review-2
record=$case_dir/record.txt
work=$(mktemp -d)
declare -A pid_of
: >"$record"

# Prints ms since the start of the script.
began_ns=$(date +%s%N)
elapsed_ms() { echo $((($(date +%s%N) - began_ns) / 1000000)); }

# Writes a line to the record: note TEXT...
note() { printf '%7d ms  %s\n' "$(elapsed_ms)" "$*" | tee -a "$record"; }

cleanup() {
    local pid
    for pid in "${pid_of[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    if [ -n "${KEEP:-}" ]; then echo "logs: $work"; else rm -rf "$work"; fi
}
trap cleanup EXIT
trap 'exit 2' INT TERM

# Ends the case: finish CODE TEXT...
finish() {
    local code=$1
    shift
    note "result: $* (exit code $code, trouble $trouble)"
    exit "$code"
}

[ -x "$program" ] || finish 2 "target/ridgeridge is missing: run the build of the deploy file"

# A loopback network of this run's own, and ports that are alike on all
# machines, as on the platform.
net=127.$((64 + RANDOM % 128)).$((RANDOM % 256))
base=$((20000 + RANDOM % 10000))
control=$base ready=$((base + 1)) packets=$((base + 2))
peer=$((base + 10)) metrics=$((base + 25))

# Loopback address of machine N.
machine() { echo "$net.$1"; }

# Writes the settings file of a node, as deploy/settings.json is filled in:
# settings N HALL DISK FIRST_START SEED...
settings() {
    local n=$1 hall=$2 disk=$3 first=$4 seeds="" seed
    shift 4
    for seed in "$@"; do
        seeds="$seeds${seeds:+, }{\"control\": \"$(machine "$seed"):$control\"}"
    done
    [ "$disk" = 1 ] && mkdir -p "$work/data-$n"
    cat >"$work/node-$n.json.new" <<END
{
    "name": "frontend-$n", "hall": "$hall",
    "data": "$([ "$disk" = 1 ] && echo "$work/data-$n")",
    "packets": "$(machine "$n"):$packets", "ready": "$(machine "$n"):$ready",
    "control": "$(machine "$n"):$control",
    "peer_port": $peer, "metrics_port": $metrics,
    "first_start": $first, "registration_interval_ms": 770,
    "grace_s": 6, "flow_max_s": 60, "link_mbps": 1000.0,
    "cold_overshoot": 1, "cold_slack": 0, "load_control": "ranked",
    "requirements": "base,drain,config,cost,recover,flows",
    "seeds": [$seeds]
}
END
    mv "$work/node-$n.json.new" "$work/node-$n.json"
}

# Starts the process of a machine with the command of the deploy file.
start() {
    "$program" node --settings "$work/node-$1.json" >>"$work/node-$1.log" 2>&1 &
    pid_of[$1]=$!
    disown
}

# Sends a signal to the process of a machine: signal NAME N
signal() { kill "-$1" "${pid_of[$2]}"; }

# Kills the process of a machine and waits for its end.
power_off() {
    signal KILL "$1"
    while kill -0 "${pid_of[$1]}" 2>/dev/null; do sleep 0.01; done
}

# One HTTP request: call METHOD N PORT PATH BODY. Prints the response; nothing
# when the machine does not answer within a second.
call() {
    timeout 1 bash -c '
        exec 3<>"/dev/tcp/$2/$3" || exit 1
        printf "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" \
            "$1" "$4" "$2:$3" "${#5}" "$5" >&3
        cat <&3' call "$1" "$2" "$3" "$4" "$5" 2>/dev/null
}

# A call of the operator to one machine, with up to two redirects: operator
# METHOD N PATH BODY. Sets $status (000: no answer), $body and $answered_by (an
# address).
operator() {
    local method=$1 path=$3 sent=$4 hops response
    answered_by=$(machine "$2")
    for hops in 1 2 3; do
        response=$(call "$method" "$answered_by" "$control" "$path" "$sent")
        status=$(printf '%s' "$response" | head -1 | cut -d' ' -f2)
        status=${status:-000}
        body=$(printf '%s' "$response" | sed '1,/^\r$/d')
        [ "$status" = 307 ] || return 0
        answered_by=$(printf '%s' "$response" | tr -d '\r' |
            sed -n 's|^Location: http://\([0-9.]*\):.*|\1|p')
        [ -n "$answered_by" ] || return 0
    done
}

# Sends a desired state until it is acknowledged, in turn to the machines
# given: submit VERSION SECONDS N... Succeeds with the acknowledgement.
submit() {
    local version=$1 until=$(($(elapsed_ms) + $2 * 1000)) n
    shift 2
    while [ "$(elapsed_ms)" -lt "$until" ]; do
        for n in "$@"; do
            operator PUT "$n" /-/configuration "$(desired_state "$version")"
            if [ "$status" = 200 ]; then
                note "operator: version $version acknowledged by $answered_by"
                return 0
            fi
            [ "$status" != 400 ] || finish 2 "the desired state was refused: $body"
        done
        sleep 0.2
    done
    return 1
}

# Reads the desired state until an answer comes, in turn from the machines
# given: read_back SECONDS N... Sets $read_version, empty when none comes.
read_back() {
    local until=$(($(elapsed_ms) + $1 * 1000)) n
    shift
    read_version=""
    while [ "$(elapsed_ms)" -lt "$until" ]; do
        for n in "$@"; do
            operator GET "$n" /-/configuration ""
            if [ "$status" = 200 ]; then
                read_version=$(printf '%s' "$body" | sed -n 's/^{"version":\([0-9]*\).*/\1/p')
                note "operator: read version $read_version from $answered_by"
                return 0
            fi
        done
        sleep 0.3
    done
    return 1
}

# Default desired state; a case may define its own.
desired_state() {
    printf '{"version":%d,"routes":[{"name":"r-form-save","hostname":"198.18.0.1","path_prefix":"/443/","kind":"unsafe","timeout_ms":%d,"target_latency_ms":250,"priority":1,"service":"dossier","max_attempts":2}],"services":[{"name":"dossier","health_check_path":"/health","max_connections":2000,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}' \
        "$1" $((1500 + $1))
}
