#!/usr/bin/env bash
# Generates the committed gRPC code of kingcuproad-wire. Needs Debian's protobuf-compiler-grpc-java-plugin
# on the PATH; protoc comes from Maven, in the version of protobuf-java that the workspace pins.
set -euo pipefail
cd "$(dirname "$0")/.."
version=4.36.2
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
mvn -q -B org.apache.maven.plugins:maven-dependency-plugin:3.8.1:copy \
  -Dartifact=com.google.protobuf:protoc:$version:exe:linux-x86_64 -DoutputDirectory="$tools" -N
protoc="$tools/protoc-$version-linux-x86_64.exe"
chmod +x "$protoc"
out=kingcuproad-wire/src/generated/java
rm -rf "$out"
mkdir -p "$out"
"$protoc" -I kingcuproad-wire/src/main/proto --java_out="$out" --grpc-java_out="$out" \
  --plugin=protoc-gen-grpc-java="$(command -v grpc_java_plugin)" kingcuproad.proto
# The annotation left the JDK in release 11.
find "$out" -name '*.java' -exec sed -i '/^@javax.annotation.Generated(/,/)$/d' {} +
