#!/bin/bash
. "$(dirname "$0")/../common-3.sh"
: >"$record"
body='"routes":[{"name":"r-1","hostname":"198.18.0.1","path_prefix":"/8080/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":250,"priority":1,"service":"dossier","max_attempts":2}],"services":[{"name":"dossier","health_check_path":"/health","max_connections":2000,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
echo "{\"version\":1,$body" > "$run/1.json"
echo "{\"version\":0,$body" > "$run/0.json"
zones=(cesson saint-gregoire chantepie)
set_seeds 1 2 3
for n in 1 2 3; do node "$n" "${zones[n - 1]}" 1 1; done
status=$(put "$run/1.json" 40 1 2 3)
say "version 1: $status"
sleep 3
version=2
for ((i=1;i<=${ROUNDS:-10};i++)); do
    end node-3; rm -rf "$run/data-3"; sleep 0.3
    node 3 chantepie 1 0
    t0=$(date +%s%3N)
    hi=$("$peer" orders "$(address 1)" $control "$run/0.json" $version ${COUNT:-100} ${PAR:-8})
    t1=$(date +%s%3N)
    version=$((version+${COUNT:-100}))
    sleep 1.2
    dup=$(python3 - "$run/data-1/log" <<'P'
import struct,sys
b=open(sys.argv[1],'rb').read(); at=8; idx=[]
while at+40<=len(b):
    m,l,i,t,c,s=struct.unpack_from('<IIQQQQ',b,at); idx.append(i); at+=40+l
print(len(idx), [ (a,c) for a,c in zip(idx,idx[1:]) if c!=a+1])
P
)
    say "round $i: highest $hi in $((t1-t0)) ms; log of node 1: $dup"
done
