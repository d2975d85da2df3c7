#!/usr/bin/env bash
# One of three machines with a disk is down for 13 s. Meanwhile a desired state
# is acknowledged, and the machine that acknowledged it loses its disk.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=review/common-2.sh
. "$case_dir/../common-2.sh"

down_s=13
recovery_s=12

# Machines 1 to 3 have a disk, 4 to 6 have none.
for n in 1 2 3 4 5 6; do
    settings "$n" "hall-$(((n - 1) % 3 + 1))" $((n <= 3)) 1 1 2 3
done
for n in 1 2 3 4 5 6; do start "$n"; done
submit 1 15 1 2 3 || finish 2 "the first desired state was not acknowledged"
sleep 5

down=3
[ "$answered_by" = "$(machine 3)" ] && down=2
if [ "$trouble" = 1 ]; then
    power_off "$down"
    note "machine $down is down"
fi
sleep "$down_s"
submit 2 5 1 2 3 || finish 2 "version 2 was not acknowledged"
holder=${answered_by##*.}
if [ "$trouble" = 1 ]; then
    power_off "$holder"
    rm -rf "$work/data-$holder"
    note "machine $holder lost its disk right after the acknowledgement"
    sleep 1
    settings "$holder" "hall-$holder" 1 0 1 2 3
    start "$holder"
    start "$down"
    note "machines $holder (empty disk) and $down (its own disk) are back"
fi
sleep "$recovery_s"
note "$recovery_s s have passed since all machines were back"
read_back 25 1 2 3 4 5 6 || finish 1 "LOST: version 2 was acknowledged, and no machine gives the desired state"
[ "$read_version" = 2 ] || finish 1 "LOST: version 2 was acknowledged, version $read_version is read back"
finish 0 "the acknowledged version is read back"
