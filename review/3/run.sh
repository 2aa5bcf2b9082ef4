#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
if [ ! -x target/thymeloft-gateway ] || [ ! -x review/bin/case3 ] || [ ! -x review/bin/thymeloft-lab ]; then
	echo "build first: the command of deploy/system.toml, then review/build.sh"
	exit 2
fi
exec review/bin/case3 "$PWD" "$here/record.txt"
