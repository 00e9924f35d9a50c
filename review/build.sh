#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, with the JDK alone, under target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/select-jdk.sh
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review review/standin/review/*.java
