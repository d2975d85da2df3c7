#!/bin/bash
# The whole system starts for the first time. One machine of the core is cut
# off from the others a second later, for 5.5 s, and in that time it loses its
# disk, right after it has acknowledged the first desired state. The core must
# bear the loss of one machine.
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
start links "$peer" links "$net" 3 "$peers" 1
set_seeds 1 2 3
for n in 1 2 3; do node "$n" "${zones[n - 1]}" 1 1; done
sleep 1
if [ "$TROUBLE" = 1 ]; then
    kill -USR1 "${pid_of[links]}"
    cut=$(date +%s%3N)
    say "node 1 is cut off from the other nodes"
fi
status=$(put "$(table 1)" 40 1 2 3)
if [ "$TROUBLE" = 1 ]; then
    end node-1
    rm -rf "$run/data-1"
fi
say "version 1 is answered with $status"
if [ "$TROUBLE" = 1 ]; then
    [ "$status" = 200 ] && [ $(($(date +%s%3N) - cut)) -lt 5500 ] ||
        finish 0 "no version was acknowledged during the cut"
    say "node 1 lost its disk, right after"
    sleep 1
    node 1 cesson 1 0
    say "node 1 starts again, with an empty disk"
    left=$((5500 - $(date +%s%3N) + cut))
    [ "$left" -le 0 ] || sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
    kill -USR2 "${pid_of[links]}"
    say "the cut has healed"
fi
sleep 12
version=$(read_version 20 1 2 3)
say "version read back, 12 s later (recovery_s): $version"
[ "$version" = 1 ] || finish 1 "the acknowledged version 1 is lost"
finish 0 "version 1 was read back"
