#!/usr/bin/env bash
# A machine with a disk is replaced as planned: the new one first, then, after
# catch_up_s, SIGTERM to the old one. Right after its end a desired state is
# acknowledged, and the machine that acknowledged it loses its disk.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1} # 0: the same without the disruption
# shellcheck source=review/common-2.sh
. "$case_dir/../common-2.sh"

catch_up_s=4 recovery_s=12

# Machines 1 to 3 have a disk, 4 to 6 have none; machine 7 is the new one.
for n in 1 2 3 4 5 6; do
    settings "$n" "hall-$(((n - 1) % 3 + 1))" $((n <= 3)) 1 1 2 3
done
for n in 1 2 3 4 5 6; do start "$n"; done
submit 1 15 1 2 3 || finish 2 "the first desired state was not acknowledged"
old=3
[ "${answered_by##*.}" = 3 ] && old=2
sleep 5
if [ "$trouble" = 1 ]; then
    settings 7 "hall-$old" 1 0 1 2 3
    start 7
    note "machine 7 with an empty disk is added"
    sleep "$catch_up_s"
    signal TERM "$old"
    note "machine $old gets SIGTERM, $catch_up_s s after the start of its successor"
    while kill -0 "${pid_of[$old]}" 2>/dev/null; do sleep 0.02; done
    note "machine $old has ended and does not come back"
fi
kept="1 2 3"
[ "$trouble" = 1 ] && kept="${kept/$old/7}"
# shellcheck disable=SC2086
submit 2 5 $kept || finish 2 "version 2 was not acknowledged"
holder=${answered_by##*.}
if [ "$trouble" = 1 ]; then
    power_off "$holder"
    rm -rf "$work/data-$holder"
    note "machine $holder lost its disk right after the acknowledgement"
    sleep 1
    # shellcheck disable=SC2086
    settings "$holder" "hall-$(((holder - 1) % 3 + 1))" 1 0 $kept
    start "$holder"
    note "machine $holder is back with an empty disk"
fi
sleep "$recovery_s"
note "$recovery_s s have passed since all machines were back"
# shellcheck disable=SC2086
read_back 20 $kept 4 5 6 || finish 1 "LOST: version 2 was acknowledged, and no machine gives the desired state"
[ "$read_version" = 2 ] || finish 1 "LOST: version 2 was acknowledged, version $read_version is read back"
finish 0 "the acknowledged version is read back"
