#!/bin/sh
# Builds the stand-ins of the cases into review/out. Needs nothing but the JDK.
set -e
cd "$(dirname "$0")"
rm -rf out
mkdir out
javac -d out src/*.java
