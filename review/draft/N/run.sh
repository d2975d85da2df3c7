#!/bin/bash
# Two servers whose ids have the same 32-bit number in packets. The platform
# stops one node and starts it again; the packets of an open flow then pass
# through it.
. "$(dirname "$0")/../common-3.sh"
: >"$record"

cat >"$run/table.json" <<END
{"version":1,"routes":[{"name":"r-1","hostname":"198.18.0.1","path_prefix":"/8080/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":250,"priority":1,"service":"dossier","max_attempts":2},{"name":"r-2","hostname":"198.18.0.1","path_prefix":"/8443/","kind":"safe","timeout_ms":1500,"target_latency_ms":250,"priority":2,"service":"archive","max_attempts":2}],"services":[{"name":"dossier","health_check_path":"/health","max_connections":2000,"protocol":"h1","tls":false},{"name":"archive","health_check_path":"/health","max_connections":2000,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
END
zones=(cesson saint-gregoire chantepie)
set_seeds 1 2 3
for n in 1 2 3; do node "$n" "${zones[n - 1]}" 1 1; done
server() { # server N ID SERVICE
    start "server-$1" "$peer" host "127.$net.2.$1" 8367 "$2" "$3" "${zones[$1 - 1]}" \
        "$control" "$packets" "$record" "$(address "$1")"
}
server 1 4e3b591827 dossier
status=$(put "$run/table.json" 40 1 2 3)
say "version 1 is answered with $status"
[ "$status" = 200 ] || finish 2 "the deployment did not start"
wait_ready 20 1 2 3 || finish 2 "the nodes did not become ready"
sleep 2
server 2 1f47b0d138 archive
server 3 2a archive
sleep 6

coproc caller { "$peer" caller "127.$net.4.1" "$packets"; }
pids+=("$caller_PID")
client() {
    local answer
    echo "$1" >&"${caller[1]}"
    read -r answer <&"${caller[0]}"
    say "client: $answer"
    result=$answer
}
via=$(address 3) other=$(address 1)
client "open 40001 198.18.0.1 8080 $via"
client "ask 40001 $via q-1"
[[ $result == *"200 by dossier"* ]] || finish 2 "the first request was not served"
if [ "$TROUBLE" = 1 ]; then
    kill -TERM "${pid_of[node-3]}"
    wait "${pid_of[node-3]}"
    say "node 3 ended after SIGTERM"
    sleep 0.5
    node 3 chantepie 1 0
    wait_ready 20 3 || finish 2 "node 3 did not become ready"
    say "node 3 is started again and ready"
fi
client "ask 40001 $other q-2"
[[ $result == *"200 by dossier"* ]] || finish 2 "the request through the other node was not served"
sleep 6
client "ask 40001 $via q-3"
[[ $result == *"200 by dossier"* ]] || finish 1 "the open flow is reset: its packets went to another server"
finish 0 "the open flow was served"
