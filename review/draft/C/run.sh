#!/bin/bash
# A client closes a flow and opens the next one from the same port. In
# between, a desired state has moved the route to another service.
. "$(dirname "$0")/../common-3.sh"
: >"$record"

table() { # table VERSION SERVICE
    cat >"$run/table-$1.json" <<END
{"version":$1,"routes":[{"name":"r-1","hostname":"198.18.0.1","path_prefix":"/8080/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":250,"priority":1,"service":"$2","max_attempts":2}],"services":[{"name":"dossier","health_check_path":"/health","max_connections":2000,"protocol":"h1","tls":false},{"name":"archive","health_check_path":"/health","max_connections":2000,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
END
    echo "$run/table-$1.json"
}

zones=(cesson saint-gregoire chantepie)
set_seeds 1 2 3
for n in 1 2 3; do node "$n" "${zones[n - 1]}" 1 1; done
for n in 1 2 3; do
    start "old-$n" "$peer" host "127.$net.2.$n" 8367 "7f3a910$n" dossier "${zones[n - 1]}" \
        "$control" "$packets" "$record" "$(address "$n")"
    start "new-$n" "$peer" host "127.$net.3.$n" 8367 "5c20440$n" archive "${zones[n - 1]}" \
        "$control" "$packets" "$record" "$(address "$n")"
done
status=$(put "$(table 1 dossier)" 40 1 2 3)
say "version 1 (route to dossier) is answered with $status"
[ "$status" = 200 ] || finish 2 "the deployment did not start"
wait_ready 20 1 2 3 || finish 2 "the nodes did not become ready"
sleep 8

coproc caller { "$peer" caller "127.$net.4.1" "$packets"; }
pids+=("$caller_PID")
# client LINE: one act of the client; prints its result.
client() {
    local answer
    echo "$1" >&"${caller[1]}"
    read -r answer <&"${caller[0]}"
    say "client: $answer"
    result=$answer
}
node=$(address 1)

client "open 40001 198.18.0.1 8080 $node"
client "ask 40001 $node q-1"
[[ $result == *"200 by dossier"* ]] || finish 2 "the first request was not served"
if [ "$TROUBLE" = 1 ]; then
    status=$(put "$(table 2 archive)" 20 1 2 3)
    say "version 2 (route to archive) is answered with $status"
    [ "$status" = 200 ] || finish 2 "version 2 is not acknowledged"
fi
sleep 8
client "close 40001 $node"
say "the flow is closed, 8 s after the confirmation (config_apply_ms 3000)"
client "open 40002 198.18.0.1 8080 $node"
client "ask 40002 $node q-2"
second=$result
client "close 40002 $node"
client "open 40001 198.18.0.1 8080 $node"
client "ask 40001 $node q-3"
third=$result
want=archive
[ "$TROUBLE" = 1 ] || want=dossier
[[ $second == *"200 by $want"* ]] || finish 2 "the request of a new port was not served by $want"
[[ $third == *"200 by"* ]] || finish 2 "the last request was not served"
[[ $third == *"200 by $want"* ]] || finish 1 "the old service ran q-3, 8 s after the confirmation of version 2"
finish 0 "each request was run by the service that the version in force names"
