#!/bin/bash
# Plays the case "forgotten" of review/sim3; review/build-3.sh builds it. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sim3 ] && [ -x target/tamarack-node ] || { echo "build the deploy file and review/build-3.sh first"; exit 2; }
exec target/sim3 forgotten review/11
