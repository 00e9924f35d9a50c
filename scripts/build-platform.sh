#!/usr/bin/env bash
# Builds what runs on the users' platform under target/platform: a run-time image, the program and a class archive.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/select-jdk.sh
out=target/platform
mvn -B -q -ntp -Dmaven.test.skip=true -pl platform -am package
rm -rf "$out"
mkdir -p "$out"
cp platform/target/kingcuproad-adapter.jar "$out/kingcuproad.jar"
"$JAVA_HOME/bin/jlink" --add-modules java.base,java.management,java.logging,java.xml,java.naming,jdk.unsupported,jdk.management \
  --strip-debug --no-header-files --no-man-pages --output "$out/runtime"

# The archive holds the loaded form of all classes, which halves the time from start to the first answer.
jar=$out/kingcuproad.jar
{
  cat "$out/runtime/lib/classlist" 2>/dev/null || true
  "$JAVA_HOME/bin/jar" tf "$jar" | sed -n -E 's#^((org/kingcuproad|io/netty/(buffer|channel|handler/codec|util|bootstrap|resolver)|com/fasterxml/jackson|com/codahale/metrics)/.*)\.class$#\1#p' \
    | grep -v -E 'http2|package-info|module-info|META-INF|epoll|kqueue|io_uring|compression|ssl|haproxy'
} >"$out/classes.lst"
"$out/runtime/bin/java" -Xshare:dump -Xlog:disable -Xlog:all=error:stderr -XX:+UseSerialGC -XX:+UseCompactObjectHeaders \
  -XX:SharedClassListFile="$out/classes.lst" -XX:SharedArchiveFile="$out/kingcuproad.jsa" -cp "$jar"
