#!/usr/bin/env bash
# Plays the case of claim.txt. Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../../.." && pwd)
cd "$top" || exit 2
[ -x target/node ] && [ -x target/rig3 ] || { echo "build the deploy file and review/build-2.sh first" >&2; exit 2; }
exec target/rig3 unreadable-entries "$here"
