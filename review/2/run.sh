#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the trouble out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/maplerail.jar ] || [ ! -f review/out/RunCase.class ]; then
    echo "not built: run the build command of deploy/balancer.toml and review/build.sh"
    exit 2
fi
exec java -Xmx512m -cp review/out RunCase Bodies review/2/record.txt
