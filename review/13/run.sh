#!/usr/bin/env bash
# Runs the case after fleetbench build and review/build-3.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/crocusrackd ] && [ -x target/review-3/13 ] || { echo "build first: target/crocusrackd, review/build-3.sh"; exit 2; }
exec target/review-3/13 target/crocusrackd review/13/record.txt
