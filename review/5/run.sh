#!/usr/bin/env bash
# A machine with a disk is replaced: the new one first, then the old one is gone
# for good. While it is replaced, three machines stand still for a tenth of a
# second, as an operator sends two changes. Later comes the final fault: one
# machine loses its disk, and the two others lose power.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1} # 0: the same without the disruption
# shellcheck source=review/common-2.sh
. "$case_dir/../common-2.sh"

stops=${STOPS:-1}      # 0: all but the stops

catch_up_s=4 recovery_s=12
changes=62 # entries in the log before the replacement begins

# Prints how many entries the log of a machine has, by its metrics.
entries() {
    call GET "$(machine "$1")" "$metrics" /metrics "" |
        sed -n 's/^[a-z_]*commits_total \([0-9]*\).*/\1/p'
}

# Stops a machine (STOP) or lets it go on (CONT).
freeze() { [ "$trouble$stops" != 11 ] || signal "$1" "$2"; }

# Waits until a time in ms after the old machine is gone.
wait_until() {
    local left=$(($1 - ($(date +%s%N) - gone_ns) / 1000000))
    [ "$left" -le 0 ] || sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
}

# Machines 1 to 3 have a disk, 5 and 6 have none; machine 4 is the new one.
for n in 1 2 3 5 6; do
    settings "$n" "hall-$(((n - 1) % 3 + 1))" $((n <= 3)) 1 1 2 3
done
for n in 1 2 3 5 6; do start "$n"; done
submit 1 15 1 2 3 || finish 2 "the first desired state was not acknowledged"
[ "${answered_by##*.}" = 1 ] || finish 2 "machine 1 does not lead"
sleep 1
if [ "$trouble" = 1 ]; then
    settings 4 hall-3 1 0 1 2 3
    start 4
    note "machine 4 with an empty disk is added"
fi
sleep "$catch_up_s"
sleep 0.5
version=1
while [ "$(entries 1)" -lt "$changes" ]; do
    version=$((version + 1))
    submit "$version" 5 1 >>"$work/changes.txt" ||
        finish 2 "version $version was not acknowledged"
done
gone_ns=$(date +%s%N)
if [ "$trouble" = 1 ]; then
    power_off 3
    note "machine 3 is gone for good; version $version was the last change"
    # A voter is replaced after 3 s of silence.
    wait_until 2880
    freeze STOP 4
fi
version=$((version + 1))
submit "$version" 5 1 || finish 2 "version $version was not acknowledged"
freeze STOP 2
version=$((version + 1))
last=$(desired_state "$version")
if [ "$trouble" = 1 ]; then
    call PUT "$(machine 1)" "$control" /-/configuration "$last" >"$work/last.txt" &
    sleep 0.04
    freeze STOP 1
    wait_until 3010
    freeze CONT 2
    sleep 0.01
    freeze CONT 4
    sleep 0.02
    freeze CONT 1
    [ "$stops" = 0 ] || note "machines 4, 2 and 1 stood still for 0.14, 0.1 and 0.05 s or so"
    wait "$!"
else
    call PUT "$(machine 1)" "$control" /-/configuration "$last" >"$work/last.txt"
fi
sleep 6
kept="1 2 4"
[ "$trouble" = 1 ] || kept="1 2 3"
version=$((version + 1))
# shellcheck disable=SC2086
submit "$version" 5 $kept || finish 2 "version $version was not acknowledged"
if [ "$trouble" = 1 ]; then
    for n in $kept; do power_off "$n"; done
    rm -rf "$work/data-2"
    note "final fault: machine 2 lost its disk, 1 and 4 lost power"
    sleep 1
    for n in $kept; do
        settings "$n" "hall-$(((n - 1) % 3 + 1))" 1 0 1 2 4
        start "$n"
    done
    note "machines $kept are back"
fi
sleep "$recovery_s"
note "$recovery_s s have passed since all machines were back"
grep -h "storage-given-up\|storage-not-opened" "$work"/node-*.log | cut -c1-200 >>"$record"
# shellcheck disable=SC2086
read_back 10 $kept 5 6 || finish 1 "LOST: version $version was acknowledged, and no machine gives the desired state"
[ "$read_version" = "$version" ] || finish 1 "LOST: version $version was acknowledged, version $read_version is read back"
finish 0 "the acknowledged version is read back"
