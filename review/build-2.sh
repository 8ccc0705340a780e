#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec javac -encoding UTF-8 -d target/review-2 review/standins-2/*.java
