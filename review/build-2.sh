#!/bin/bash
# Builds the stand-ins of the second review's cases, after the build of the deploy file. It needs no network: the
# rig is a module of its own, and uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
cd review/rig2
go build -o ../../bin/rig2 .
