#!/usr/bin/env bash
# One worker is lost: the jobs that ran there are suspected and tried one at a time, while the cell is idle.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/review-2/classes/SuspectsWait.class ] || [ ! -f target/anvilbarrow.jar ]; then
    echo "build with the command of deploy/system.toml and with review/build-2.sh first; record.txt is not written"
    exit 2
fi
exec java -cp target/review-2/classes Main SuspectsWait review/8
