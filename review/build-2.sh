#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10 under target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/select-jdk.sh
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -encoding UTF-8 --release 21 -d target/review-2 review/standins/*.java
