#!/bin/bash
# A core of three, in which one machine after the other is replaced, as an
# operator does it: the new one first, then the old one goes.
. "$(dirname "$0")/../common-3.sh"
: >"$record"
ROUNDS=${ROUNDS:-14}

table() { # table VERSION
    cat >"$run/table-$1.json" <<END
{"version":$1,"routes":[{"name":"r-1","hostname":"198.18.0.1","path_prefix":"/8080/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":250,"priority":1,"service":"dossier","max_attempts":2}],"services":[{"name":"dossier","health_check_path":"/health","max_connections":2000,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
END
    echo "$run/table-$1.json"
}

zones=(cesson saint-gregoire chantepie)
set_seeds 1 2 3
for n in 1 2 3; do node "$n" "${zones[n - 1]}" 1 1; done
status=$(put "$(table 1)" 40 1 2 3)
say "version 1 is answered with $status"
[ "$status" = 200 ] || finish 2 "the deployment did not start"
sleep 3

last=3
[ "$TROUBLE" = 1 ] || ROUNDS=0
for ((i = 1; i <= ROUNDS; i++)); do
    next=$((last + 1))
    set_seeds 1 2 "$last"
    node "$next" chantepie 1 0
    sleep 1.2
    end "node-$last"
    say "round $i: node $next joined with an empty disk, node $last is gone for good"
    sleep 3.9
    last=$next
done
status=$(put "$(table 2)" 20 1 2 "$last")
say "version 2 is answered with $status"
[ "$status" = 200 ] || finish 1 "version 2 is not acknowledged with all machines up"

# The two machines that founded the core are replaced in the same way.
one=1 two=2
if [ "$TROUBLE" = 1 ]; then
    one=$((last + 1)) two=$((last + 2))
    set_seeds 1 2 "$last"
    node "$one" cesson 1 0
    sleep 1.2
    end node-1
    say "node $one joined with an empty disk, node 1 is gone for good"
    sleep 7
    set_seeds "$one" 2 "$last"
    node "$two" saint-gregoire 1 0
    sleep 1.2
    status=$(put "$(table 3)" 20 "$last" "$one" 2)
    say "version 3 is answered with $status"
    end node-2
    say "node $two joined with an empty disk, node 2 is gone for good"
    sleep 12
fi
[ "$TROUBLE" = 1 ] || { status=$(put "$(table 3)" 20 1 2 3) && say "version 3 is answered with $status"; }
[ "$status" = 200 ] || finish 1 "version 3 is not acknowledged"
read_version 8 "$last" "$one" "$two" >"$run/read"
say "version read back 12 s (recovery_s) later: $(cat "$run/read")"
[ "$(cat "$run/read")" = 3 ] || finish 1 "the acknowledged version 3 does not come, with all machines up"
status=$(put "$(table 4)" 8 "$last" "$one" "$two")
say "version 4 is answered with $status"
[ "$status" = 200 ] || finish 1 "version 4 is not acknowledged"
finish 0 "version 3 was read back, version 4 acknowledged"
