#!/usr/bin/env bash
# shellcheck disable=SC1091,SC2034,SC2154
# The seeds are exchanged for three machines without a disk; these three are
# down for 7 s together. Later two machines of the core are replaced by empty
# ones, the second when the first successor has had its time to catch up. Then
# the operator reads the desired state back.
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../common.sh"
nodes=8
catch_up_s=4

start_all
submit 20 1 1500 || give_up "the first desired state was not taken"
sleep 2
if [ "$trouble" != 0 ]; then
    exchange_seeds 4 5 6
    sleep 3
    for n in 4 5 6; do lose "$n"; done
    sleep 7
    for n in 4 5 6; do start "$n" false; done
    sleep $((catch_up_s + 1))
fi
submit "$ack_timeout_s" 2 1600 || give_up "version 2 was not taken"
leader=$answered_by
note_readiness
if [ "$trouble" != 0 ]; then
    replace_core $((leader % 3 + 1)) 21
    sleep $((catch_up_s + 1))
    replace_core $(((leader + 1) % 3 + 1)) 22
fi
judge_read_back 2
