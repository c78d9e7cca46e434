#!/usr/bin/env bash
# After the loss of a worker a gang that would run faster on one rack waits for ever beside tasks that last.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/review-2/classes/RackGangWaits.class ] || [ ! -f target/anvilbarrow.jar ]; then
    echo "build with the command of deploy/system.toml and with review/build-2.sh first; record.txt is not written"
    exit 2
fi
exec java -cp target/review-2/classes Main RackGangWaits review/8
