#!/usr/bin/env bash
# Measures a request through one scheduler and through two against calling an upstream directly, in one run, and the
# start-up time and resident memory of an idle scheduler. Everything runs as separate processes on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."

requests="${1:-5000}"
dir=target/path-figures
base=7600
region=lappi-a
mkdir -p "$dir"

mvn -B -ntp -q -pl benchmarks -am -DskipTests package dependency:build-classpath \
    -Dmdep.outputFile=target/classpath -Dmdep.includeScope=runtime
classpath="benchmarks/target/classes:$(cat benchmarks/target/classpath)"

pids=()
end_all() { for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done; }
trap end_all EXIT

start() {
    local name=$1
    shift
    bin/anvilbarrow "$@" >"$dir/$name.log" 2>&1 </dev/null &
    pids+=($!)
    echo $! >"$dir/$name.pid"
}

wait_for() {
    for _ in $(seq 600); do
        curl -sf -m 1 -o /dev/null "$1" && return
        sleep 0.05
    done
    echo "$1 did not answer within 30 s" >&2
    exit 1
}

settings() {
    local self=$1 other=$2
    cat >"$dir/scheduler-$self.ini" <<TEXT
[scheduler]
id = scheduler-$self
region = $region
failure-domain = $region-$self
[caller]
address = 127.0.0.1:$((base + 20 + self))
[peers]
address = 127.0.0.1:$((base + 30 + self))
[peer scheduler-$other]
address = 127.0.0.1:$((base + 30 + other))
region = $region
[log]
url = http://127.0.0.1:$base
[vm-list]
url = http://127.0.0.1:$((base + 1))
TEXT
}

append() {
    local change
    change=$(printf '{"type":"change","changeId":"%s-%s","kind":"%s","name":"%s","spec":%s}' "$1" "$2" "$1" "$2" "$3")
    change=${change//\"/\\\"}
    curl -sf -m 5 -o /dev/null -H 'Content-Type: application/json' -d "{\"payloads\":[\"$change\"]}" \
        "http://127.0.0.1:$base/v1/log/append"
}

declare_objects() {
    local i
    append shard s1 "{\"type\":\"shard\",\"region\":\"$region\",\"anchors\":[\"upstream-1\",\"upstream-2\",\"upstream-3\"]}"
    append region "$region" '{"type":"region","homeShards":["s1"]}'
    for i in 1 2 3; do
        append upstream "upstream-$i" "{\"type\":\"upstream\",\"address\":\"127.0.0.1:$((base + 10 + i))\",\
\"shard\":\"s1\",\"rack\":\"r$i\",\"failureDomain\":\"$region-$i\",\
\"capacity\":{\"cpuMillicores\":64000,\"memoryMebibytes\":262144,\"slots\":64,\"connections\":64}}"
    done
    append workload map-tiles "{\"type\":\"workload\",\"workloadKind\":\"service\",\"region\":\"$region\",\
\"resources\":{\"cpuMillicores\":100,\"memoryMebibytes\":64,\"slots\":1,\"connections\":1},\"urgency\":\"urgent\"}"
}

start log stand-in log --port "$base"
start vm-list stand-in vm-list --port $((base + 1)) upstream-1 upstream-2 upstream-3
for i in 1 2 3 4; do start "upstream-$i" stand-in upstream --port $((base + 10 + i)); done
settings 1 2
settings 2 1
wait_for "http://127.0.0.1:$base/v1/log/records?from=0"
declare_objects

began=$(date +%s%N)
start scheduler-1 run "$dir/scheduler-1.ini"
wait_for "http://127.0.0.1:$((base + 21))/ready"
echo "start-up of a scheduler until it is ready: $((($(date +%s%N) - began) / 1000000)) ms"
start scheduler-2 run "$dir/scheduler-2.ini"
wait_for "http://127.0.0.1:$((base + 22))/ready"
sleep 8
for i in 1 2; do
    rss=$(awk '/VmRSS/ { print $2 }' "/proc/$(cat "$dir/scheduler-$i.pid")/status")
    echo "resident memory of idle scheduler-$i: $((rss / 1024)) MiB"
done

path() { java -Xmx256m -cp "$classpath" org.anvilbarrow.benchmarks.path.PathMainKt --requests "$requests" "$@"; }

# One of the two schedulers is home to the only shard; the other takes requests to it.
home=$(curl -s "http://127.0.0.1:$((base + 21))/metrics" | awk '/^anvilbarrow_home_shards/ { print ($2 > 0) ? 1 : 2 }')
other=$((3 - home))
for callers in 1 16; do
    path --label "upstream directly" --callers "$callers" --direct --url "http://127.0.0.1:$((base + 14))"
    path --label "through one scheduler" --callers "$callers" --url "http://127.0.0.1:$((base + 20 + home))"
    path --label "through two schedulers" --callers "$callers" --url "http://127.0.0.1:$((base + 20 + other))"
done
for i in 1 2; do
    rss=$(awk '/VmRSS/ { print $2 }' "/proc/$(cat "$dir/scheduler-$i.pid")/status")
    echo "resident memory of scheduler-$i after the load: $((rss / 1024)) MiB"
done
