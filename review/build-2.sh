#!/bin/sh
# Builds the stand-ins and tests of the cases 6 to 10 into review/lib-2/out.
set -e
cd "$(dirname "$0")/lib-2"
rm -rf out
mkdir out
javac -Xlint:all -d out ./*.java
