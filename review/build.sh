#!/bin/sh
# Builds the stand-ins and the cases of the review. The build of deploy/system.toml comes before.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/harness/*.java
