#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the daemon.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for n in 11 12 13 14 15; do
  if [ -d "review/$n/platform" ]; then
    go build -o "target/review-3/$n" "./review/$n/platform"
  fi
done
