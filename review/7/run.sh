#!/usr/bin/env bash
# A desired state moves a route from one service to another. Clients behind one
# address close long flows and open new ones, each from a port that is free.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1} # 0: the same without the disruption
# shellcheck source=review/common-2.sh
. "$case_dir/../common-2.sh"

[ -x "$stand_ins/flow-2" ] || finish 2 "run review/build-2.sh"
config_apply_ms=3000

# Version 1 leads to the service dossier, version 2 to dossier-next.
desired_state() {
    local service=dossier
    [ "$1" = 2 ] && service=dossier-next
    printf '{"version":%d,"routes":[{"name":"r-feed","hostname":"198.18.0.1","path_prefix":"/443/","kind":"safe","timeout_ms":1500,"target_latency_ms":250,"priority":1,"service":"%s","max_attempts":2}],"services":[{"name":"dossier","health_check_path":"/health","max_connections":2000,"protocol":"h1","tls":false},{"name":"dossier-next","health_check_path":"/health","max_connections":2000,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}' \
        "$1" "$service"
}

machines="1 2 3 4 5 6"
for n in $machines; do settings "$n" cesson $((n <= 3)) 1 1 2 3; done
for n in $machines; do start "$n"; done
submit 1 15 1 2 3 || finish 2 "the first desired state was not acknowledged"

list=$(for n in $machines; do machine "$n"; done | paste -sd,)
PORTS=32768,${PORT_COUNT:-4096} CLOSE=16000,46000 BRIEF=150,16000,46000 \
    OLD=dossier,$config_apply_ms \
    "$stand_ins/flow-2" 50 120 198.18.0.1:443 "$(machine 200)" "$list" \
    "$control" "$ready" "$packets" \
    "i-7f3a91c2,dossier,$(machine 101):$((base + 40)),cesson,0" \
    "i-1852f513ef,dossier,$(machine 102):$((base + 40)),cesson,0" \
    "i-28f7e7ec74,dossier-next,$(machine 103):$((base + 40)),cesson,0" \
    "i-be18436cae,dossier-next,$(machine 104):$((base + 40)),cesson,0" \
    >"$work/flow.txt" 2>&1 &
pid_of[flow]=$!
sleep 12
if [ "$trouble" = 1 ]; then
    submit 2 5 1 2 3 || finish 2 "version 2 was not acknowledged"
    signal USR1 flow
fi
wait "${pid_of[flow]}"
code=$?
unset 'pid_of[flow]'
cat "$work/flow.txt" >>"$record"
tail -5 "$work/flow.txt"
case $code in
0) finish 0 "no flow went to the old service" ;;
1) finish 1 "CONFIG: flows opened later than config_apply_ms after the confirmation were served by the old service" ;;
*) finish 2 "the stand-ins ended with $code" ;;
esac
