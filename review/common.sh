# shellcheck shell=bash disable=SC2016,SC2034,SC2154
# Functions of the cases in review/: a small deployment on loopback, started
# with the command of deploy/system.toml and settings made from
# deploy/settings.json, and an operator who behaves as PROTOCOL.md says.
# Sourced by review/N/run.sh with $case_dir set. Needs bash and coreutils.
set -u

repo=$(cd "$case_dir/../.." && pwd)
record=${RECORD:-$case_dir/record.txt}
trouble=${TROUBLE:-1}
# Figures of the pages (argoat-lb).
ack_timeout_s=5 recovery_s=12 contact_s=4

declare -A pid_of
work=$(mktemp -d)
: >"$record"
start_ms=$(date +%s%3N)

note() {
    printf '%8.3f s  %s\n' "$(($(date +%s%3N) - start_ms))e-3" "$*" >>"$record"
}

end_all() {
    local name
    for name in "${!pid_of[@]}"; do
        kill -KILL "${pid_of[$name]}" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$work"
}
trap end_all EXIT

# The case could not run.
give_up() {
    note "could not run: $*"
    echo "could not run: $*" >&2
    exit 2
}

cd "$repo" || give_up "no repository"
program=target/ridgeridge
[ -x "$program" ] || program=build/ridgeridge
[ -x "$program" ] || give_up "neither target/ridgeridge nor build/ridgeridge is built"

# Nodes 1 to 3 have a disk and count for the tolerance (machines = 1), 4 to
# $nodes have none; they take turns in three zones. Node 1 is the seed with the
# lowest address. Nodes 21 and above are successors of nodes 1 to 3, with an
# empty disk and an address of their own.
disks=3 nodes=6
zones=(cesson saint-gregoire chantepie)
seeds=(1 2 3)

address() { echo "$net.$1"; }

has_disk() { [ "$1" -le "$disks" ] || [ "$1" -gt 20 ]; }

# Fills the template as the platform does: N BOOTSTRAP (true or false).
settings() {
    local n=$1 bootstrap=$2 data='' list='' i first=0
    has_disk "$n" && data=$work/data-$n
    [ "$bootstrap" = true ] && first=1
    for i in "${seeds[@]}"; do
        list+="${list:+,}{\"control\": \"$(address "$i"):$((port + 2))\"}"
    done
    sed -e 's|{{node_name}}|frontend-'"$n"'|' \
        -e 's|{{zone}}|'"${zones[(n - 1) % 3]}"'|' \
        -e 's|{{data_directory}}|'"$data"'|' \
        -e 's|{{listen.datagram_address}}|'"$(address "$n"):$port"'|' \
        -e 's|{{listen.readiness}}|'"$(address "$n"):$((port + 1))"'|' \
        -e 's|{{listen.control_plane}}|'"$(address "$n"):$((port + 2))"'|' \
        -e 's|{{internal_port_range.0}}|'"$((port + 3))"'|' \
        -e 's|{{internal_port_range.1}}|'"$((port + 4))"'|' \
        -e 's|{{#bootstrap}}.*{{/bootstrap}}|'"$first"'|' \
        -e 's|{{heartbeat_interval_ms}}|770|' \
        -e 's|{{bounds.grace_period_s}}|6|' \
        -e 's|{{bounds.max_flow_s}}|60|' \
        -e 's|{{limits.link_mbps}}{{^.*{{/limits.link_mbps}}|1000|' \
        -e 's|{{bounds.warmup_overshoot}}{{^.*}}1{{/bounds.warmup_overshoot}}|1|' \
        -e 's|{{bounds.warmup_slack}}{{^.*}}0{{/bounds.warmup_slack}}|0|' \
        -e 's|{{contracts}}|base,drain,config,cost,recover,flows|' \
        -e 's|{{#seed_nodes}}.*{{/seed_nodes}}|'"$list"'|' \
        deploy/settings.json >"$work/settings-$n.json"
    ! grep -q '{{' "$work/settings-$n.json" || give_up "a gap of the template is unknown"
}

# Starts node N with the settings of the moment: N BOOTSTRAP.
start() {
    settings "$1" "$2"
    if has_disk "$1"; then mkdir -p "$work/data-$1"; fi
    "$program" node --settings "$work/settings-$1.json" >>"$work/log-$1" 2>&1 &
    pid_of[$1]=$!
    disown
    note "platform starts node $1 (bootstrap=$2, seeds ${seeds[*]})"
}

# Kills the process of node N.
lose() {
    kill -KILL "${pid_of[$1]}" 2>/dev/null
    while kill -0 "${pid_of[$1]}" 2>/dev/null; do sleep 0.01; done
    note "platform: node $1 is down"
}

# Kills the process of node N, whose disk is lost with it.
lose_with_disk() {
    lose "$1"
    rm -rf "$work/data-$1"
    note "platform: node $1 lost its disk"
}

# Exchanges the seeds in the settings of all running nodes: SEED...
exchange_seeds() {
    local n
    seeds=("$@")
    for n in "${!pid_of[@]}"; do
        settings "$n" false
        kill -HUP "${pid_of[$n]}"
    done
    note "platform: the settings of all nodes name the seeds $* (SIGHUP)"
}

# A machine of the core is gone for good; an empty one with the same roles
# comes a second later at another address: OLD NEW.
replace_core() {
    lose_with_disk "$1"
    unset "pid_of[$1]"
    sleep 1
    start "$2" false
    operators_list=("${operators_list[@]/#$1/$2}")
}

runs() { kill -0 "${pid_of[$1]}" 2>/dev/null; }

# Starts all nodes for the first time, on addresses and ports that are free.
start_all() {
    local try n ok
    for try in 1 2 3 4 5 6; do
        net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 2))
        port=$((RANDOM % 20000 + 20000))
        for n in $(seq 1 $nodes); do start "$n" true; done
        sleep 0.15
        ok=1
        for n in $(seq 1 $nodes); do runs "$n" || ok=0; done
        if [ $ok = 1 ]; then
            mapfile -t operators_list < <(seq 1 $nodes)
            return
        fi
        for n in $(seq 1 $nodes); do lose "$n"; done
        rm -rf "$work"/data-* "$work"/log-*
    done
    give_up "the nodes do not start"
}

# One HTTP call, given up after a second: METHOD ADDRESS PORT PATH BODY.
# Prints the response.
http() {
    timeout 1 bash -c '
        exec 3<>"/dev/tcp/$2/$3" || exit 1
        printf "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" \
            "$1" "$4" "${#5}" "$5" >&3
        cat <&3' http "$@" 2>/dev/null | tr -d '\r'
}

answered_by=0 # node that gave the last confirmation
answer=''     # its body

# One call of the operator at node N, with two redirects at most: METHOD N
# PATH BODY. Succeeds on 200.
ask() {
    local method=$1 n=$2 path=$3 body=$4 at hop text code location
    at=$(address "$n")
    for hop in 1 2 3; do
        text=$(http "$method" "$at" $((port + 2)) "$path" "$body")
        code=$(head -n 1 <<<"$text" | cut -d' ' -f2)
        if [ "$code" = 307 ]; then
            location=$(sed -n 's|^Location: http://\([0-9.]*\):.*|\1|p' <<<"$text")
            at=$location
            continue
        fi
        if [ "$code" = 200 ]; then
            answered_by=${at##*.}
            answer=$(sed '1,/^$/d' <<<"$text")
            return 0
        fi
        break
    done
    last_code=${code:-none}
    return 1
}

# The operator repeats a call at one node after another until it is taken:
# SECONDS METHOD PATH BODY. Fails after SECONDS.
operator() {
    local until=$(($(date +%s%3N) + $1 * 1000)) method=$2 path=$3 body=$4
    local n=$((RANDOM % nodes)) wait=50 tries=0
    last_code=none
    while [ "$(date +%s%3N)" -lt "$until" ]; do
        n=$(((n + 1) % ${#operators_list[@]}))
        tries=$((tries + 1))
        ask "$method" "${operators_list[n]}" "$path" "$body" && return 0
        sleep "$(printf '0.%03d' $wait)"
        [ $wait -lt 400 ] && wait=$((wait * 2))
    done
    note "operator: $method $path had no 200 in $tries calls over $1 s (the last: $last_code)"
    return 1
}

# A valid desired state: VERSION TIMEOUT_MS.
desired_state() {
    printf '{"version":%d,"routes":[{"name":"r-1","hostname":"198.18.0.1","path_prefix":"/8080/","kind":"unsafe","timeout_ms":%d,"target_latency_ms":250,"priority":1,"service":"dossier","max_attempts":2}],"services":[{"name":"dossier","health_check_path":"/health","max_connections":2000,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}' "$1" "$2"
}

# The operator sends a desired state: SECONDS VERSION TIMEOUT_MS.
submit() {
    note "operator sends desired state version $2"
    if operator "$1" PUT /-/configuration "$(desired_state "$2" "$3")"; then
        note "operator: version $2 is acknowledged by node $answered_by"
        return 0
    fi
    return 1
}

# The operator reads the desired state back until it comes: SECONDS. Sets
# $version.
read_back() {
    version=none
    note "operator reads the desired state back"
    operator "$1" GET /-/configuration "" || return 1
    version=$(sed -n 's/.*"version":\([0-9]*\).*/\1/p' <<<"$answer" | head -n 1)
    note "operator: node $answered_by answers version $version"
}

# Readiness as the routers see it, for the record.
note_readiness() {
    local n text=''
    for n in "${operators_list[@]}"; do
        text+=" $n:$(http GET "$(address "$n")" $((port + 1)) /-/readiness "" | head -n 1 | cut -d' ' -f2)"
    done
    note "routers: readiness of the nodes$text"
}

# Keeps what the nodes logged about consensus, for whoever looks into a break.
note_logs() {
    local n
    for n in $(seq 1 $disks) $(seq 21 23); do
        [ -f "$work/log-$n" ] || continue
        grep -hE 'event=(founding|voters|leader|storage-opened|table-in-force)' "$work/log-$n" |
            sed "s/^/log of node $n: /" | cut -c1-240 >>"$record"
    done
}

# Ends the case: broken or held, with a sentence.
verdict() {
    note_logs
    note "$1: $2"
    echo "$1: $2"
    [ "$1" = held ] || exit 1
    exit 0
}

# Ends the case: once all machines have had recovery_s, the operator reads the
# desired state back, which must be the one acknowledged last: VERSION.
judge_read_back() {
    sleep "$recovery_s"
    note_readiness
    read_back $((2 * contact_s + recovery_s))
    [ "$version" = "$1" ] && verdict held "the acknowledged version $1 is read back"
    submit "$ack_timeout_s" $(($1 + 1)) 1900
    verdict broken "CONFIG: version $1 was acknowledged; read back: $version"
}
