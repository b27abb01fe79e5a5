#!/bin/bash
# Builds the stand-ins of the second review's cases, after the build of the deploy file. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/rig2 ./review/rig2
