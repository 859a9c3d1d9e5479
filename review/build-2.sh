#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the system's own program: one program with
# the stand-ins for clients, workers, the operator and the platform. It needs the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-2 ./review/_rig2
