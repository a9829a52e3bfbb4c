#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 and above into target/. They need nothing but the Go standard library, and the
# scripts start no program of the project beside the deploy file's own.
set -euo pipefail
cd "$(dirname "$0")/rig3"
GOWORK=off go build -o ../../target/rig3 .
