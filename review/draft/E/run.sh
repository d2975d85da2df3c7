#!/bin/bash
# The whole system starts for the first time. One machine of the core is
# removed for good a second later, and another with an empty disk takes its
# place. The core must bear the loss of one machine.
. "$(dirname "$0")/../common-3.sh"
: >"$record"

cat >"$run/table.json" <<END
{"version":1,"routes":[{"name":"r-1","hostname":"198.18.0.1","path_prefix":"/8080/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":250,"priority":1,"service":"dossier","max_attempts":2}],"services":[{"name":"dossier","health_check_path":"/health","max_connections":2000,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
END
zones=(cesson saint-gregoire chantepie)
set_seeds 1 2 3
for n in 1 2 3; do node "$n" "${zones[n - 1]}" 1 1; done
first=1
sleep 1
if [ "$TROUBLE" = 1 ]; then
    first=4
    end node-1
    say "node 1 is gone for good, 1 s after the start"
    sleep 1
    set_seeds 4 2 3
    node 4 cesson 1 0
    say "node 4 joins in its place, with an empty disk"
fi
status=$(put "$run/table.json" 90 "$first" 2 3)
say "version 1 is answered with $status"
[ "$status" = 200 ] || finish 1 "no desired state is ever acknowledged, with all machines up"
say "version read back: $(read_version 10 "$first" 2 3)"
finish 0 "the desired state is acknowledged"
