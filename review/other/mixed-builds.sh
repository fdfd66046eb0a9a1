#!/usr/bin/env bash
# Not a case: an upgrade from the landing before, f3b1c51, under a request that crashes its targets.
# Exits with 1 if machines of the present build broke the rule, 0 if it held, 2 if it could not run.
# TROUBLE=0 runs the present build on all machines.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/rig ] && [ -x ../../target/jackdawcart-entry ] || { echo "build first: the build of deploy/system.toml and review/build.sh" >&2; exit 2; }
former=$(mktemp -d) || exit 2
trap 'rm -rf "$former"' EXIT
git -C ../.. archive f3b1c51 | tar -x -C "$former" || exit 2
(cd "$former" && go build -ldflags=-linkmode=external -o target/jackdawcart-entry ./entry) || exit 2
RIG_FORMER=$former ../bin/rig mixed-builds "${1:-/dev/null}"
