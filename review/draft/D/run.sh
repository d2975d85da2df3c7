#!/bin/bash
# An operator sends an invalid desired state: a route names a service that is
# not known, beside a "traffic_split" whose services are.
. "$(dirname "$0")/../common-3.sh"
: >"$record"

table() { # table VERSION TARGET
    cat >"$run/table-$1.json" <<END
{"version":$1,"routes":[{"name":"r-1","hostname":"198.18.0.1","path_prefix":"/8080/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":250,"priority":1,$2,"max_attempts":2}],"services":[{"name":"dossier","health_check_path":"/health","max_connections":2000,"protocol":"h1","tls":false},{"name":"archive","health_check_path":"/health","max_connections":2000,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
END
    echo "$run/table-$1.json"
}

zones=(cesson saint-gregoire chantepie)
set_seeds 1 2 3
for n in 1 2 3; do node "$n" "${zones[n - 1]}" 1 1; done
status=$(put "$(table 1 '"service":"dossier"')" 40 1 2 3)
say "version 1 (valid) is answered with $status"
[ "$status" = 200 ] || finish 2 "the deployment did not start"
split='"traffic_split":[{"service":"dossier","weight":90},{"service":"archive","weight":10}]'
unknown='"service":"no-such-service",'
[ "$TROUBLE" = 1 ] || unknown='"service":"dossier",'
status=$(put "$(table 2 "$unknown$split")" 10 1 2 3)
say "version 2 (${unknown%,}) is answered with $status"
version=$(read_version 10 1 2 3)
say "version read back: $version"
if [ "$TROUBLE" = 0 ]; then
    [ "$status" = 200 ] && [ "$version" = 2 ] && finish 0 "the valid state is in force"
    finish 2 "the valid state is not in force"
fi
[ "$status" != 200 ] || finish 1 "the invalid version 2 is acknowledged, and version $version is in force"
finish 0 "the invalid version is refused"
