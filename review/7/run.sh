#!/usr/bin/env bash
# At the first start of the whole system, one of three machines with a disk is
# gone for good 0.7 s after the start, and an empty one comes 2 s later at
# another address. The operator sends the first desired state for 60 s.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1} # 0: the same without the disruption
# shellcheck source=review/common-2.sh
. "$case_dir/../common-2.sh"

for n in 1 2 3 4 5 6; do
    settings "$n" "hall-$(((n - 1) % 3 + 1))" $((n <= 3)) 1 1 2 3
done
for n in 1 2 3 4 5 6; do start "$n"; done
note "six machines started, 1 to 3 have a disk"
sleep 0.7
if [ "$trouble" = 1 ]; then
    power_off 1
    note "machine 1 is gone for good"
    sleep 2
    settings 7 hall-1 1 "${SUCCESSOR_BOOTSTRAP:-0}" 2 3 7
    start 7
    note "machine 7 with an empty disk takes its place"
    for n in 2 3 4 5 6; do
        settings "$n" "hall-$(((n - 1) % 3 + 1))" $((n <= 3)) 0 2 3 7
    done
    machines="2 3 4 5 6 7"
else
    machines="1 2 3 4 5 6"
fi
# shellcheck disable=SC2086
if submit 1 60 $machines; then
    finish 0 "the first desired state was acknowledged"
fi
for n in $machines; do
    kill -0 "${pid_of[$n]}" 2>/dev/null || note "the process of machine $n has ended"
    note "machine $n: readiness $(call GET "$(machine "$n")" "$ready" /-/readiness "" | head -1 | cut -d' ' -f2)"
done
finish 1 "Acks: no machine acknowledged a desired state for 60 s"
