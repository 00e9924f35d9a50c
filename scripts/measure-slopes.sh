#!/usr/bin/env bash
# Measures what an idle entry uses for control as it knows more upstreams: 3, then 15 agents as separate processes.
# Prints one "name value unit" line for each figure; docs/CAPACITY.md works with the slopes.
# KINGCUPROAD_SLOPE_SECONDS sets the length of each idle interval.
set -euo pipefail
cd "$(dirname "$0")/.."
first_port=${KINGCUPROAD_SLOPE_PORT:-26000}
. scripts/local-system.sh

idle_seconds=${KINGCUPROAD_SLOPE_SECONDS:-20}
settle_seconds=8
environment=merrimack
document=examples/merrimack/environment.jsonc
entry_port=$((first_port + 1000))
agent_port=$((first_port + 1100))
engine_port=$((first_port + 1900))
ticks_per_second=$(getconf CLK_TCK)

cpu_ticks() { # pid
  sed 's/.*) //' "/proc/$1/stat" | awk '{ print $12 + $13 }'
}

io_bytes() { # pid
  awk '/^[rw]char:/ { sum += $2 } END { printf "%d", sum }' "/proc/$1/io"
}

measure() { # agents
  local pid=${pid_of[entry]} cpu io
  sleep "$settle_seconds"
  cpu=$(cpu_ticks "$pid")
  io=$(io_bytes "$pid")
  sleep "$idle_seconds"
  awk -v n="$1" -v s="$idle_seconds" -v cpu=$(($(cpu_ticks "$pid") - cpu)) -v tick="$ticks_per_second" \
    -v io=$(($(io_bytes "$pid") - io)) \
    'BEGIN { printf "entry_cpu_with_%d_agents %.2f percent-of-core\nentry_io_with_%d_agents %.0f bytes/s\n", n, cpu / tick / s * 100, n, io / s }'
  awk -v n="$1" '$1 == "RssAnon:" { printf "entry_rss_anon_with_%d_agents %.1f MB\n", n, $2 / 1024 }' "/proc/$pid/status"
}

start_agents() { # first last
  local index=0 name vm centre
  while read -r name vm centre; do
    index=$((index + 1))
    if [ "$index" -ge "$1" ] && [ "$index" -le "$2" ]; then
      start_agent "$environment" "$name" "$vm" "$centre" $((agent_port + 10 * index)) "$engine_port" $((entry_port + 2))
    fi
  done < <(upstreams "$document" model 12; upstreams "$document" service 3)
}

start_platform
run engine bin/kingcuproadctl emulate-engine --port "$engine_port"
start_entry "$environment" entry lowell "$entry_port"
start_agents 1 3
publish "$environment" "$document" $((entry_port + 1)) >/dev/null
measure 3
start_agents 4 15
measure 15
echo "platform_calls $(curl -sf "$platform/standin/counters") since-start"
