#!/bin/sh
# Builds the stand-ins of all cases, after the build of the deploy file. It needs no network: the rig uses the
# standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/rig ./review/rig
