#!/bin/sh
# Compiles the stand-ins and the cases that the scripts of this review start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -Xlint:all -Werror -d target/review-3 review/standins-3/*.java
