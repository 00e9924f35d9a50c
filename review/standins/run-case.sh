#!/usr/bin/env bash
# Runs a case with the command of the deploy file: run-case.sh CLASS FOLDER. Exit code: 1 if the rule was broken, 0 if
# it held, 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/../.."
. scripts/select-jdk.sh || exit 2
classes=target/review-2
command=$(sed -n '/^\[roles\.gateway\]/,/^on/s/^run = "\(.*\)"$/\1/p' deploy/system.toml)
if [ ! -d "$classes" ] || [ ! -f target/platform/kingcuproad.jar ] || [ -z "$command" ]; then
  echo "build first: scripts/build-platform.sh and review/build-2.sh" >&2
  exit 2
fi
work=$(mktemp -d)
timeout -k 3 115 "$JAVA_HOME/bin/java" -Xmx256m -Dgateway.command="$command" -cp "$classes" "$1" "$work" "$2/record.txt"
status=$?
rm -rf "$work"
[ "$status" -le 1 ] && exit "$status"
exit 2
