#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 to target/review2/. The controllers are built by
# the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2/standin2 ./review/standin2
