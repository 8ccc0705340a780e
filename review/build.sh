#!/bin/sh
# Builds the stand-ins and the tests of all cases. Needs the JDK alone.
set -e
cd "$(dirname "$0")/.."
rm -rf review/out
mkdir -p review/out
javac -encoding UTF-8 -d review/out review/standins/*.java
