#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they contain.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[1-5]/platform; do
  [ -d "$main" ] || continue
  n=$(basename "$(dirname "$main")")
  go build -o "target/review/case$n" "./$main"
done
