#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases, after the build of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/standins-2 ./review/standins2
