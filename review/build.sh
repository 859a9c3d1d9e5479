#!/usr/bin/env bash
# Builds what the scripts of the review start, beside the build of deploy/system.toml: one program with all stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-rig ./review/_rig
