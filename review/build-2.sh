#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the second review with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2/classes
javac -nowarn -d target/review-2/classes review/standins-2/*.java
