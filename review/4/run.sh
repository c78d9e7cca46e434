#!/bin/sh
# Three workers lose power one after the other, each shortly before an order for the same task reaches it.
# TROUBLE=0 leaves the disruption out. Writes record.txt; exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/anvilbarrow.jar ] && [ -f target/review/review/Case.class ] || exit 2
exec java -Xmx256m -cp target/review review.CrashingWorkers . review/4
