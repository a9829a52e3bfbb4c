#!/bin/bash
# Builds the stand-ins of the scripts in this folder, into review/bin.
set -eu
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-buildvcs=false go build -o bin/ ./...
