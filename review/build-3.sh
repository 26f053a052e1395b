#!/usr/bin/env bash
# Builds the stand-ins of the cases 9 to 13.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin3 ./review/standin3
