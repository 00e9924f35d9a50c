#!/usr/bin/env bash
# Plays soaks by hand: scripts/soak.sh --first 100 --seeds 50 --side-by-side 3. Logs go to target/soak.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/select-jdk.sh
mvn -B -q -ntp -DskipTests -pl platform -am package dependency:build-classpath -Dmdep.outputFile=target/test-classpath.txt -Dmdep.includeScope=test
exec "$JAVA_HOME/bin/java" -Xmx512m -cp "platform/target/test-classes:platform/target/classes:$(cat platform/target/test-classpath.txt)" \
  org.kingcuproad.adapter.soak.SoakMain "$@"
