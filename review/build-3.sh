#!/bin/bash
# Builds the stand-ins of the scripts in review/11 to review/15. It needs no network: they use the standard library only.
set -e
cd "$(dirname "$0")/.."
go build -o target/sim3 ./review/sim3
