# shellcheck shell=bash disable=SC2034
# Functions of the scripts of part one: nodes as the platform runs them, on
# loopback addresses of their own, and an operator. Sourced by run.sh.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$here
until [ -f "$root/deploy/system.toml" ]; do root=$(dirname "$root"); done
TROUBLE=${TROUBLE:-1}
run=$(mktemp -d)
record=$here/record.txt
net=$((10 + $$ % 200))
peer=$root/target/review/peer-3
pids=()
declare -A pid_of
# As in the settings of DEPLOY.md.
packets=8172 readiness=8167 control=8166 peers=7720 metrics=7735
seeds=""

begin_ms=$(date +%s%3N)
say() {
    local ms=$(($(date +%s%3N) - begin_ms))
    printf '%3d.%03d %s\n' $((ms / 1000)) $((ms % 1000)) "$*" | tee -a "$record"
}

# shellcheck disable=SC2329
clean_up() {
    local pid
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; done
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    [ -n "${KEEP:-}" ] && echo "kept: $run" || rm -rf "$run"
}
trap clean_up EXIT

# Ends the script: 0 the rule held, 1 it was broken, 2 the case couldn't run.
finish() {
    say "result: $1 ($2)"
    exit "$1"
}

# Where a node takes calls and other nodes' messages; with LINKS=5 these pass
# through "peer-3 links".
address() { echo "127.$net.${LINKS:-1}.$1"; }

# Starts a background process: start NAME COMMAND...
start() {
    local name=$1
    shift
    "$@" >>"$run/$name.log" 2>&1 &
    pid_of[$name]=$!
    pids+=($!)
}

# node N ZONE DISK(0|1) BOOTSTRAP(0|1): the template of deploy/settings.json,
# filled in, and the command of deploy/system.toml.
node() {
    local n=$1 zone=$2 disk=$3 bootstrap=$4 data="" own=127.$net.1.$1 at
    at=$(address "$n")
    [ "$disk" = 1 ] && data=$run/data-$n && mkdir -p "$data"
    cat >"$run/node-$n.json" <<END
{
    "name": "node-$n", "hall": "$zone", "data": "$data",
    "packets": "$own:$packets", "ready": "$own:$readiness",
    "control": "$at:$control", "advertise": "$at", "peer_port": $peers,
    "metrics_port": $metrics, "first_start": $bootstrap,
    "registration_interval_ms": 770, "grace_s": 6, "flow_max_s": 60,
    "link_mbps": 1000.0, "cold_overshoot": 1, "cold_slack": 0,
    "load_control": "ranked",
    "requirements": "base,drain,config,cost,recover,flows",
    "seeds": [$seeds]
}
END
    start "node-$n" "$root/target/ridgeridge" node --settings "$run/node-$n.json"
}

# set_seeds N...: addresses of the nodes that serve control.
set_seeds() {
    local n
    seeds=""
    for n in "$@"; do
        seeds+="${seeds:+, }{\"control\": \"$(address "$n"):$control\"}"
    done
}

# SIGKILL to a process that this script started.
end() {
    kill -KILL "${pid_of[$1]}" 2>/dev/null
    wait "${pid_of[$1]}" 2>/dev/null
}

# call METHOD N PATH [BODY-FILE]: prints the status and the body.
call() {
    local method=$1 n=$2 path=$3
    shift 3
    "$peer" http "$method" "$(address "$n")" "$control" "$path" "$@"
}

# put FILE TRIES N...: an order that is repeated at one node after the other;
# prints the last status.
put() {
    local file=$1 tries=$2 answer="0" n i
    shift 2
    for ((i = 0; i < tries; i++)); do
        n=${*:$((i % $# + 1)):1}
        answer=$(call PUT "$n" /-/configuration "$file")
        case ${answer%% *} in 200 | 400 | 409 | 412 | 413 | 422) break ;; esac
        sleep 0.3
    done
    echo "${answer%% *}"
}

# read_version TRIES N...: prints the version read back, "none" without one.
read_version() {
    local tries=$1 answer n i
    shift
    for ((i = 0; i < tries; i++)); do
        n=${*:$((i % $# + 1)):1}
        answer=$(call GET "$n" /-/configuration)
        if [ "${answer%% *}" = 200 ]; then
            echo "$answer" | sed -n 's/^200 {"version":\([0-9]*\).*/\1/p'
            return
        fi
        sleep 0.3
    done
    echo none
}

# wait_ready SECONDS N...: until each node answers its readiness probe.
wait_ready() {
    local until=$((SECONDS + $1)) n
    shift
    for n in "$@"; do
        until [ "$("$peer" http GET "127.$net.1.$n" "$readiness" \
            /-/readiness | cut -d' ' -f1)" = 200 ]; do
            [ "$SECONDS" -lt "$until" ] || return 1
            sleep 0.2
        done
    done
}
