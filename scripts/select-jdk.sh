# Sourced by the other scripts. Sets JAVA_HOME to a JDK of 21 or newer, or says what is missing.
MIN_JAVA=21
java_major() { "$1/bin/java" -version 2>&1 | sed -n '1s/.*version "\([0-9]*\).*/\1/p'; }
if [ -z "${JAVA_HOME:-}" ] || [ ! -x "$JAVA_HOME/bin/java" ] || [ "$(java_major "$JAVA_HOME")" -lt "$MIN_JAVA" ]; then
  for candidate in $(ls -d /usr/lib/jvm/*/ 2>/dev/null | sort -r); do
    candidate=${candidate%/}
    if [ -x "$candidate/bin/javac" ] && [ "$(java_major "$candidate")" -ge "$MIN_JAVA" ]; then
      JAVA_HOME=$candidate
      break
    fi
  done
fi
if [ -z "${JAVA_HOME:-}" ] || [ "$(java_major "$JAVA_HOME")" -lt "$MIN_JAVA" ]; then
  echo "kingcuproad needs a JDK of $MIN_JAVA or newer; install one or set JAVA_HOME" >&2
  exit 1
fi
export JAVA_HOME
