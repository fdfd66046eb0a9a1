#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/rig"
# The rig has a module of its own, which only uses the standard library.
GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -o ../bin/rig .
