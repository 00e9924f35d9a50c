# Sourced by demo.sh and benchmark.sh, with first_port set. Functions that start the parts of a system as separate
# processes on loopback and stop exactly these again when the script ends.
. scripts/select-jdk.sh
if [ ! -f kingcuproad-daemon/target/kingcuproad.jar ] || [ ! -f kingcuproad-ctl/target/kingcuproadctl.jar ]; then
  echo "building the two programs" >&2
  mvn -q -B -ntp -T 1C -Pwithout-linter -Dmaven.test.skip=true -pl kingcuproad-daemon,kingcuproad-ctl -am package
fi
work=$(mktemp -d)
pids=()
declare -A pid_of
host=127.0.0.1
platform=http://$host:$first_port
admin_secret=demo-operator
admin_sha256=$(printf %s "$admin_secret" | sha256sum | cut -d' ' -f1)
export KINGCUPROAD_ADMIN_CREDENTIAL=$admin_secret

stop_all() {
  # Entries first, then agents, then the stand-ins: each finishes its requests before what it depends on goes.
  local pid
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    pid=${pids[i]}
    kill -TERM "$pid" 2>/dev/null || true
    for _ in $(seq 100); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT

run() { # name command...
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  pid_of[$name]=$!
}

wait_for() { # url
  for _ in $(seq 300); do
    if curl -sf -o /dev/null "$1"; then return; fi
    sleep 0.1
  done
  echo "no answer from $1" >&2
  tail -n 5 "$work"/*.log >&2
  exit 1
}

register_vm() { # name role port data-centre
  curl -sf -o /dev/null -X PUT "$platform/standin/vms/production/$1" \
    -d "{\"role\":\"$2\",\"address\":\"$host:$3\",\"dataCentre\":\"$4\",\"state\":\"live\"}"
}

start_agent() { # environment upstream vm data-centre agent-port upstream-port relay-port
  cat >"$work/$3.jsonc" <<JSON
{ // Settings of the agent beside $2.
  "upstream": "$2", "dataCentre": "$4", "environment": "$1", "stage": "production",
  "listenHost": "$host", "agentPort": $5, "adminPort": $(($5 + 1)),
  "upstreamUrl": "http://$host:$6", "platformUrl": "$platform", "relays": ["$host:$7"]
}
JSON
  run "$3" bin/kingcuproad agent --settings "$work/$3.jsonc"
  register_vm "$3" upstream "$5" "$4"
}

start_entry() { # environment name data-centre port
  cat >"$work/$2.jsonc" <<JSON
{ // Settings of an entry.
  "name": "$2", "dataCentre": "$3", "environment": "$1", "stage": "production",
  "listenHost": "$host", "callerPort": $4, "adminPort": $(($4 + 1)), "relayPort": $(($4 + 2)),
  "platformUrl": "$platform", "adminCredentialSha256": "$admin_sha256"
}
JSON
  run "$2" bin/kingcuproad entry --settings "$work/$2.jsonc"
  register_vm "$2" entry $(($4 + 2)) "$3"
}

# Reads "name vm dataCentre" of the first upstreams of a kind from the document.
upstreams() { # document kind count
  bin/kingcuproadctl validate --canonical "$1" | grep -o '{"checksFencing[^}]*}' | grep "\"kind\":\"$2\"" |
    head -n "$3" |
    sed -E 's/.*"dataCentre":"([^"]*)".*"name":"([^"]*)".*"vm":"([^"]*)".*/\2 \3 \1/'
}

data_centres() { # document
  bin/kingcuproadctl validate --canonical "$1" | grep -o '"dataCentres":\[[^]]*\]' | grep -o '"[a-z0-9-]*"' | tr -d '"'
}

start_platform() {
  run platform bin/kingcuproadctl emulate-platform --port "$first_port"
  wait_for "$platform/standin/counters"
}

# Tries the document and promotes it as the first revision.
publish() { # environment document entry-admin-port
  local entry=http://$host:$3 revision
  wait_for "$entry/livez"
  revision=$(bin/kingcuproadctl trial --json --entry "$entry" --base-revision 0 "$2" |
    sed -E 's/.*"revision":([0-9]+).*/\1/')
  bin/kingcuproadctl promote --entry "$entry" --environment "$1" \
    --trial-revision "$revision" --production-revision 0
  wait_for "$entry/readyz"
}

call() { # port credential path [curl options...]
  local port=$1 credential=$2 path=$3
  shift 3
  curl -sS --max-time 30 -H "Authorization: Bearer $credential" "http://$host:$port$path" "$@"
}

wait_serving() { # port credential path [curl options...]
  for _ in $(seq 100); do
    if call "$@" -f -o /dev/null 2>/dev/null; then return; fi
    sleep 0.1
  done
  echo "not serving: $*" >&2
  exit 1
}

chat_body() { # model stream
  printf '{"model":"%s","messages":[{"role":"user","content":"%s"}],"max_tokens":8,"stream":%s}' "$1" "$3" "$2"
}
