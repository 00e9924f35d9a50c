#!/usr/bin/env bash
# Runs both deployments on loopback as separate processes: a platform stand-in, two entries in different data
# centres, agents, engine and service stand-ins. Sends real requests, shows the responses and stops everything.
# KINGCUPROAD_DEMO_KEEP=1 waits for Enter before stopping.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/select-jdk.sh
if [ ! -f kingcuproad-daemon/target/kingcuproad.jar ] || [ ! -f kingcuproad-ctl/target/kingcuproadctl.jar ]; then
  mvn -q -B -ntp -DskipTests package
fi
work=$(mktemp -d)
pids=()
host=127.0.0.1
base_port=${KINGCUPROAD_DEMO_PORT:-21000}
platform=http://$host:$base_port
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

deploy() { # environment document first-port
  local environment=$1 document=$2 port=$3 name vm centre
  echo "== $environment: starting"
  mapfile -t centres < <(data_centres "$document")
  start_entry "$environment" "$environment-entry-1" "${centres[0]}" "$port"
  start_entry "$environment" "$environment-entry-2" "${centres[1]}" $((port + 10))
  local agent_port=$((port + 100)) standin_port=$((port + 200))
  while read -r name vm centre; do
    run "$environment-engine-$standin_port" bin/kingcuproadctl emulate-engine --port $standin_port
    start_agent "$environment" "$name" "$vm" "$centre" $agent_port $standin_port $((port + 2))
    agent_port=$((agent_port + 10)) standin_port=$((standin_port + 1))
  done < <(upstreams "$document" model 3)
  while read -r name vm centre; do
    run "$environment-service-$standin_port" bin/kingcuproadctl emulate-service --port $standin_port
    start_agent "$environment" "$name" "$vm" "$centre" $agent_port $standin_port $((port + 2))
    agent_port=$((agent_port + 10)) standin_port=$((standin_port + 1))
  done < <(upstreams "$document" service 3)
  wait_for "http://$host:$((port + 1))/livez"
  local entry=http://$host:$((port + 1)) revision
  revision=$(bin/kingcuproadctl trial --json --entry "$entry" --base-revision 0 "$document" |
    sed -E 's/.*"revision":([0-9]+).*/\1/')
  bin/kingcuproadctl promote --entry "$entry" --environment "$environment" \
    --trial-revision "$revision" --production-revision 0
  wait_for "http://$host:$((port + 1))/readyz"
  wait_for "http://$host:$((port + 11))/readyz"
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

serve() { # port credential model question order-path order-body
  local port=$1 credential=$2 model=$3 question=$4 order_path=$5 order=$6 key
  wait_serving "$port" "$credential" /v1/chat/completions -d "$(chat_body "$model" false "$question")"
  echo "-- a completion through the first entry"
  call "$port" "$credential" /v1/chat/completions -d "$(chat_body "$model" false "$question")"
  echo
  echo "-- a streamed completion through the second entry, over HTTP/2"
  call $((port + 10)) "$credential" /v1/chat/completions --http2-prior-knowledge \
    -d "$(chat_body "$model" true "$question")" | tail -n 4
  key=demo-$RANDOM$RANDOM
  wait_serving "$port" "$credential" /stock/padded-envelope
  echo "-- an order, and the same order again through the other entry: it runs once"
  call "$port" "$credential" "$order_path" -H "Idempotency-Key: $key" -d "$order"
  echo
  call $((port + 10)) "$credential" "$order_path" -H "Idempotency-Key: $key" -d "$order"
  echo
  echo "-- a wrong credential"
  call "$port" wrong "$order_path" -d "$order"
  echo
}

run platform bin/kingcuproadctl emulate-platform --port "$base_port"
wait_for "$platform/standin/counters"
deploy merrimack examples/merrimack/environment.jsonc $((base_port + 1000))
serve $((base_port + 1000)) example-lowell-city-clerk merrimack-draft "Draft a refill summary" /orders '{"item":"padded-envelope"}'
deploy wierzbicki examples/wierzbicki/environment.jsonc $((base_port + 2000))
serve $((base_port + 2000)) example-sklep-krakow-centrum wierzbicki-hem "How wide is the hem?" /orders '{"item":"voile"}'
echo "== status of one entry"
bin/kingcuproadctl status --entry "http://$host:$((base_port + 1001))" --environment merrimack
if [ "${KINGCUPROAD_DEMO_KEEP:-}" = 1 ]; then
  read -r -p "Press Enter to stop. " _
fi
echo "== stopping"
