#!/bin/bash
# Occurrences of scheduled jobs are lost when the process that leads is killed. About 70 s. TROUBLE=0: no kill.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/tamarack-node ] || [ ! -x target/bed2 ]; then
	echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
	exit 2
fi
exec target/bed2 schedule review/8/record.txt
