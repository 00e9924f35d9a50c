#!/usr/bin/env bash
# Measures added latency, throughput, CPU and memory of one entry and one agent on loopback, in about 3 minutes.
# Prints one "name value unit" line for each figure; docs/benchmark.md explains them.
# KINGCUPROAD_BENCHMARK_SECONDS sets the length of each load interval, KINGCUPROAD_BENCHMARK_IDLE_SECONDS of the idle one.
set -euo pipefail
cd "$(dirname "$0")/.."
first_port=${KINGCUPROAD_BENCHMARK_PORT:-24000}
. scripts/local-system.sh

load_seconds=${KINGCUPROAD_BENCHMARK_SECONDS:-20}
idle_seconds=${KINGCUPROAD_BENCHMARK_IDLE_SECONDS:-30}
warm_up_seconds=5
settle_seconds=5
concurrency=16 # below the 24 of the upstream in the document, so that nothing waits
tokens=16
environment=merrimack
document=examples/merrimack/environment.jsonc
credential=example-lowell-city-clerk
model=merrimack-draft
entry_port=$((first_port + 1000))
agent_port=$((first_port + 1100))
engine_port=$((first_port + 1200))
ticks_per_second=$(getconf CLK_TCK)

figure() { # name value unit
  printf '%-40s %12s %s\n' "$1" "$2" "$3"
}

calculate() { # awk expression
  awk "BEGIN { printf \"%.3f\", $1 }"
}

cpu_seconds() { # pid
  sed 's/.*) //' "/proc/$1/stat" | awk -v ticks="$ticks_per_second" '{ printf "%.2f", ($12 + $13) / ticks }'
}

memory_mb() { # pid field
  awk -v field="$2:" '$1 == field { printf "%.1f", $2 / 1024 }' "/proc/$1/status"
}

io_bytes() { # pid; everything the process reads and writes, which bounds its network traffic from above
  awk '/^[rw]char:/ { sum += $2 } END { printf "%d", sum }' "/proc/$1/io"
}

memory() { # label
  local part
  for part in entry agent; do
    figure "${part}_$1_vm_rss" "$(memory_mb "${pid_of[$part]}" VmRSS)" MB
    figure "${part}_$1_rss_anon" "$(memory_mb "${pid_of[$part]}" RssAnon)" MB
  done
}

load() { # name port load-options...
  local name=$1 port=$2
  shift 2
  if ! bin/kingcuproadctl load --target "http://$host:$port" --credential "$credential" --model "$model" \
    --tokens "$tokens" --stream --duration-seconds "$load_seconds" "$@" >"$work/$name.load"; then
    echo "$name: some requests failed or got an incomplete response" >&2
    cat "$work/$name.load" >&2
  fi
  figure "${name}_requests_due" "$(result "$name" due)" requests
  figure "${name}_requests_complete" "$(result "$name" complete)" requests
  figure "${name}_requests_incomplete" "$(sum "$name" incomplete)" requests
  figure "${name}_requests_failed" "$(sum "$name" errors)" requests
}

result() { # name field
  awk -v field="$2:" '$1 == field { print $2 }' "$work/$1.load"
}

sum() { # name prefix
  awk -v prefix="$2." 'index($1, prefix) == 1 { sum += $2 } END { print sum + 0 }' "$work/$1.load"
}

latency() { # name
  local field
  for field in p50 p99; do
    figure "$1_total_$field" "$(result "$1" "total.${field}Ms")" ms
    figure "$1_first_byte_$field" "$(result "$1" "firstByte.${field}Ms")" ms
    figure "$1_token_gap_$field" "$(result "$1" "tokenGap.${field}Ms")" ms
  done
}

added() { # kind percentile field
  figure "added_$1_$2" "$(calculate "$(result half_load "$3.$2Ms") - $(result direct "$3.$2Ms")")" ms
}

start_all() {
  local name vm centre
  start_platform
  mapfile -t centres < <(data_centres "$document")
  start_entry "$environment" entry "${centres[0]}" "$entry_port"
  read -r name vm centre < <(upstreams "$document" model 1)
  run engine bin/kingcuproadctl emulate-engine --port "$engine_port" --first-token-ms 0 --token-ms 0
  start_agent "$environment" "$name" "$vm" "$centre" "$agent_port" "$engine_port" $((entry_port + 2))
  pid_of[agent]=${pid_of[$vm]}
  publish "$environment" "$document" $((entry_port + 1)) >/dev/null
  wait_serving "$entry_port" "$credential" /v1/chat/completions -d "$(chat_body "$model" false ready)"
}

measure_idle() {
  local part
  declare -A cpu io
  sleep "$settle_seconds"
  for part in entry agent; do
    cpu[$part]=$(cpu_seconds "${pid_of[$part]}")
    io[$part]=$(io_bytes "${pid_of[$part]}")
  done
  sleep "$idle_seconds"
  for part in entry agent; do
    figure "${part}_idle_cpu" \
      "$(calculate "($(cpu_seconds "${pid_of[$part]}") - ${cpu[$part]}) / $idle_seconds * 100")" percent-of-core
    figure "${part}_idle_io" \
      "$(calculate "($(io_bytes "${pid_of[$part]}") - ${io[$part]}) / $idle_seconds")" bytes/s
  done
  memory idle
}

measure_throughput() {
  local part
  declare -A cpu
  for part in entry agent; do cpu[$part]=$(cpu_seconds "${pid_of[$part]}"); done
  # Without warm-up, so that the CPU time belongs to the counted requests; the warm-up ran before.
  load full_load "$entry_port" --concurrency "$concurrency" --warm-up-seconds 0
  for part in entry agent; do
    cpu[$part]=$(calculate "$(cpu_seconds "${pid_of[$part]}") - ${cpu[$part]}")
  done
  figure full_load_requests_per_second "$(calculate "$(result full_load requestsPerSecond)")" requests/s
  figure full_load_tokens_per_second "$(calculate "$(result full_load tokensPerSecond)")" tokens/s
  for part in entry agent; do
    figure "full_load_${part}_cpu" "${cpu[$part]}" s
    figure "full_load_${part}_cpu_per_1000_requests" \
      "$(calculate "${cpu[$part]} * 1000 / ($(result full_load complete) + 1e-9)")" s
  done
}

warm_up() {
  bin/kingcuproadctl load --target "http://$host:$entry_port" --credential "$credential" --model "$model" \
    --tokens "$tokens" --stream --concurrency "$concurrency" --warm-up-seconds 0 \
    --duration-seconds $((2 * warm_up_seconds)) >/dev/null || true
}

# The rate of load generator and engine stand-in alone, which no entry in front of them can exceed.
measure_ceiling() {
  load direct_full_load "$engine_port" --concurrency "$concurrency" --warm-up-seconds "$warm_up_seconds"
  figure direct_full_load_requests_per_second "$(calculate "$(result direct_full_load requestsPerSecond)")" requests/s
}

measure_latency() {
  local rate percentile
  rate=$(calculate "$(result full_load requestsPerSecond) / 2")
  figure half_load_rate "$rate" requests/s
  load direct "$engine_port" --rate "$rate" --warm-up-seconds "$warm_up_seconds"
  latency direct
  load half_load "$entry_port" --rate "$rate" --warm-up-seconds "$warm_up_seconds"
  latency half_load
  for percentile in p50 p99; do
    added total "$percentile" total
    added first_byte "$percentile" firstByte
  done
}

start_all
measure_idle
warm_up
measure_throughput
measure_ceiling
measure_latency
memory after_load
