#!/bin/bash
# Jobs don't start on idle executors while a gang waits that no pool can hold. About 36 s. TROUBLE=0: no gang.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/tamarack-node ] || [ ! -x target/bed2 ]; then
	echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
	exit 2
fi
exec target/bed2 hopeless review/8/record.txt
