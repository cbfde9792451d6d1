#!/usr/bin/env bash
# Measures the resource usage of an idle system with three control replicas, two
# gateways and a given number of emulated workers over 20 s. For each control
# replica and gateway, it prints the CPU time in percent of a core, the bytes per
# second received and sent by the sessions between carobrock processes, and the
# peak resident memory.
# Usage: tools/measure/idle.sh WORKERS... (after make build; for example 3 50 100)
set -euo pipefail
cd "$(dirname "$0")/../.."
bin=$PWD/bin/carobrock
seconds=20

sample() {
  for port in 7201 7202 7203 7301 7302; do
    "$bin" dump 127.0.0.1:$port | grep -E 'cpuMicros|receivedBytes|sentBytes|maxResidentKB' | tr -dc 'a-zA-Z0-9:\n' | sed "s/^/$port:/"
  done
}

for workers in "$@"; do
  dir=$(mktemp -d)
  pids=()
  for i in 1 2 3; do
    "$bin" control --name c$i --listen 127.0.0.1:710$i --operations 127.0.0.1:720$i --dataDir "$dir/c$i" \
      --members c1=127.0.0.1:7101 --members c2=127.0.0.1:7102 --members c3=127.0.0.1:7103 --logLevel error &
    pids+=($!)
  done
  for i in 1 2; do
    "$bin" gateway --name g$i --listen 127.0.0.1:808$i --operations 127.0.0.1:730$i \
      --replicas 127.0.0.1:7101 --replicas 127.0.0.1:7102 --replicas 127.0.0.1:7103 --logLevel error &
    pids+=($!)
  done
  for i in $(seq "$workers"); do
    "$bin" worker --name w$i --availabilityZone az$((i % 3)) --pool logbook \
      --announce 127.0.0.1:730$((i % 2 + 1)) --logLevel error &
    pids+=($!)
  done
  sleep 15
  sample >"$dir/before"
  sleep $seconds
  sample >"$dir/after"
  leader=$("$bin" replica list --server 127.0.0.1:7201 | grep -m1 '"name"' | tr -dc 'c0-9')
  echo "workers $workers, leader $leader"
  paste -d: "$dir/before" "$dir/after" | awk -F: -v s=$seconds '
    $2 == "cpuMicros" { cpu[$1] = ($6 - $3) / s / 10000 }
    $2 == "maxResidentKB" { mem[$1] = $6 }
    $2 == "receivedBytes" { rx[$1] = ($6 - $3) / s }
    $2 == "sentBytes" { tx[$1] = ($6 - $3) / s }
    END { for (p in cpu) printf "  %s  cpu %.2f %%  received %d B/s  sent %d B/s  resident %d kB\n", p, cpu[p], rx[p], tx[p], mem[p] }' | sort
  kill -TERM "${pids[@]}"
  wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$dir"
done
