#!/bin/sh
# Builds the stand-ins of the second independent review, after the build of the deploy file.
# It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
cd review/stage-2
exec go build -o ../../target/review-2 .
