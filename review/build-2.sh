#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/. They need nothing but the Go standard library, and the
# scripts start no program of the project beside the deploy file's own.
set -euo pipefail
cd "$(dirname "$0")"
for rig in rig2 rig3; do
  (cd "$rig" && GOWORK=off go build -o "../../target/$rig" .)
done
