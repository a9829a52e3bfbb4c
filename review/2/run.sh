#!/bin/bash
# A zone's nodes are cut off from the store, and servers leave a moment after the end of the cut. TROUBLE=0: no cut.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/node ] && [ -x review/bin/rig ] || { echo "build the deploy file and review/build.sh first" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
review/bin/rig gone review/2/record.txt "$folder"
