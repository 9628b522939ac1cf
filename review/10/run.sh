#!/bin/sh
# Plays the case of this folder; see claim.txt. TROUBLE=0 leaves out the disruption.
# Writes what was sent, answered and run to record.txt. Needs the build of the deploy file and
# review/build-2.sh.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -x "$root/target/lab2" ] || [ ! -x "$root/target/sardinelever" ]; then
	echo "build first: the build of deploy/system.toml and review/build-2.sh"
	exit 2
fi
timeout -k 5 110 "$root/target/lab2" -root "$root" -dir "$here" "$(basename "$here")"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
