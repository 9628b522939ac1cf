#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-lab ] && [ -x target/sardinelever ] || { echo "build first: deploy/system.toml and review/build.sh"; exit 2; }
exec target/review-lab hold review/4/record.txt
