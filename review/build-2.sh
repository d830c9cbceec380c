#!/bin/bash
# Builds what the scripts review/6 to review/10 start besides the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/ ./review/bed2
