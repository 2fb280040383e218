#!/usr/bin/env bash
# Compiles the stand-ins and the cases' tests with the JDK alone into review/out. The program itself is built by
# 'make build'; these classes do not use it.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf out
mkdir -p out
find lib [0-9]* -name '*.java' > out/sources
javac --release 17 -Xlint:all -Werror -d out @out/sources
