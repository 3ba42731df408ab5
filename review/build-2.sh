#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOFLAGS= GOWORK=off go build -buildvcs=false -o ../../target/review-2/world .
