#!/usr/bin/env bash
# Builds what runs on the users' platform under target/platform: a run-time image, the program and a class archive.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/select-jdk.sh
out=target/platform
mvn -B -q -ntp -DskipTests -pl platform -am package
rm -rf "$out"
mkdir -p "$out"
cp platform/target/kingcuproad-adapter.jar "$out/kingcuproad.jar"
"$JAVA_HOME/bin/jlink" --add-modules java.base,java.management,java.logging,java.xml,java.naming,jdk.unsupported,jdk.management \
  --strip-debug --no-header-files --no-man-pages --output "$out/runtime"
