#!/usr/bin/env bash
# Builds what the scripts of the second review start, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/platform ./review/7/platform
