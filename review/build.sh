#!/bin/sh
# Builds the stand-ins of all cases, after the build of the deploy file. It needs no network: the rig is a
# module of its own, and uses the standard library only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
cd rig
go build -o ../bin/rig .
