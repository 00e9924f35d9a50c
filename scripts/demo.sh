#!/usr/bin/env bash
# Runs both deployments on loopback as separate processes: a platform stand-in, two entries in different data
# centres, agents, engine and service stand-ins. Sends real requests, shows the responses and stops everything.
# KINGCUPROAD_DEMO_KEEP=1 waits for Enter before stopping.
set -euo pipefail
cd "$(dirname "$0")/.."
first_port=${KINGCUPROAD_DEMO_PORT:-21000}
. scripts/local-system.sh

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
  publish "$environment" "$document" $((port + 1))
  wait_for "http://$host:$((port + 11))/readyz"
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

start_platform
deploy merrimack examples/merrimack/environment.jsonc $((first_port + 1000))
serve $((first_port + 1000)) example-lowell-city-clerk merrimack-draft "Draft a refill summary" /orders '{"item":"padded-envelope"}'
deploy wierzbicki examples/wierzbicki/environment.jsonc $((first_port + 2000))
serve $((first_port + 2000)) example-sklep-krakow-centrum wierzbicki-hem "How wide is the hem?" /orders '{"item":"voile"}'
echo "== status of one entry"
bin/kingcuproadctl status --entry "http://$host:$((first_port + 1001))" --environment merrimack
if [ "${KINGCUPROAD_DEMO_KEEP:-}" = 1 ]; then
  read -r -p "Press Enter to stop. " _
fi
echo "== stopping"
