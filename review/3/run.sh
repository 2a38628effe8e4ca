#!/bin/sh
# Runs the case after the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bramleytack-fleet ] && [ -x target/review-standin ] || exit 2
RECORD=review/3/record.txt exec target/review-standin joined
