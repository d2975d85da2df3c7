#!/bin/bash
# A core of three. One machine is cut off for 10 s; right after the cut has
# healed, another machine loses its disk, just after it has acknowledged a
# change.
. "$(dirname "$0")/../common-3.sh"
: >"$record"
LINKS=5

table() { # table VERSION
    cat >"$run/table-$1.json" <<END
{"version":$1,"routes":[{"name":"r-1","hostname":"198.18.0.1","path_prefix":"/8080/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":250,"priority":1,"service":"dossier","max_attempts":2}],"services":[{"name":"dossier","health_check_path":"/health","max_connections":2000,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
END
    echo "$run/table-$1.json"
}

zones=(cesson saint-gregoire chantepie)
start links "$peer" links "$net" 3 "$peers" 3
set_seeds 1 2 3
for n in 1 2 3; do node "$n" "${zones[n - 1]}" 1 1; done
status=$(put "$(table 1)" 40 1 2 3)
say "version 1 is answered with $status"
[ "$status" = 200 ] || finish 2 "the deployment did not start"
sleep 5
if [ "$TROUBLE" = 1 ]; then
    kill -USR1 "${pid_of[links]}"
    say "node 3 is cut off from the others"
    sleep 10
    kill -USR2 "${pid_of[links]}"
    say "the cut has healed"
    sleep "${GAP:-0.1}"
fi
status=$(put "$(table 2)" 20 1 2)
if [ "$TROUBLE" = 1 ]; then
    end node-1
    rm -rf "$run/data-1"
fi
say "version 2 is answered with $status"
[ "$status" = 200 ] || finish 2 "version 2 is not acknowledged"
if [ "$TROUBLE" = 1 ]; then
    say "node 1 lost its disk, right after"
    sleep 1
    node 1 cesson 1 0
fi
sleep 13
version=$(read_version 8 1 2 3)
say "version read back, 13 s later (recovery_s 12): $version"
[ "$version" = 2 ] || finish 1 "the acknowledged version 2 does not come"
finish 0 "version 2 was read back"
