#!/usr/bin/env bash
# Builds the workspace and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/select-jdk.sh
mvn -B -ntp verify
