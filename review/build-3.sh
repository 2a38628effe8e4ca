#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, after the build of
# deploy/system.toml. They need no package of a registry.
set -euo pipefail
cd "$(dirname "$0")/standin3"
mkdir -p ../../target
GOFLAGS= GOWORK=off CGO_ENABLED=0 go build -buildvcs=false -o ../../target/review-standin3 .
