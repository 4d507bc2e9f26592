#!/bin/sh
# Builds the stand-ins and plays of the cases 6 to 10, after the build of the deploy file. Needs no network.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all --release 17 -d target/review-2 review/lib-2/*.java
