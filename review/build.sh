#!/usr/bin/env bash
# Builds the stand-ins of the cases. The program itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/lab"
mkdir -p ../../target
GOWORK=off GOFLAGS="-buildvcs=false -mod=mod" CGO_ENABLED=0 go build -o ../../target/review-lab .
