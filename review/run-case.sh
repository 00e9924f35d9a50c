#!/usr/bin/env bash
# Runs the script of a case: run-case.sh N. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/.." || exit 2
. scripts/select-jdk.sh || exit 2
if [ ! -x target/platform/runtime/bin/java ] || [ ! -f "target/review/review/Case$1.class" ]; then
  echo "build first: the build of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
rm -f "review/$1/record.txt"
timeout -k 5 112 "$JAVA_HOME/bin/java" -Xmx1g -cp target/review "review.Case$1" "review/$1"
code=$?
if [ "$code" -eq 0 ] || [ "$code" -eq 1 ]; then
  # An uncaught exception also ends a JVM with 1; only a recorded verdict counts.
  grep -qs 'verdict: ' "review/$1/record.txt" || code=2
else
  code=2
fi
exit "$code"
