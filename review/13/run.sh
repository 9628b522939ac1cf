#!/bin/sh
# Case 13: see claim.txt. TROUBLE=0 runs it without the disturbance.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/sardinelever ] && [ -x target/lab3 ] || exit 2
exec target/lab3 foreign "$here/record.txt"
