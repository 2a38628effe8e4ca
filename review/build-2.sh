#!/bin/sh
# Builds the stand-ins of the second review into target/. They need the standard library only.
set -e
cd "$(dirname "$0")/standin2"
GOFLAGS= GOWORK=off CGO_ENABLED=0 go build -buildvcs=false -o ../../target/standin2 .
