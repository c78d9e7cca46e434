#!/usr/bin/env bash
# Runs a cell as separate processes on loopback: three schedulers in three failure domains, six upstreams, the log and
# the VM list. docs/local-cell.md says what to do with it.
set -euo pipefail

root="$(cd "$(dirname "$(readlink -f "${BASH_SOURCE[0]}")")/.." && pwd)"
dir="${LOCAL_CELL_DIR:-$root/target/local-cell}"
base="${LOCAL_CELL_PORT:-7400}"
region=pohjanmaa-a

log_port=$base
vm_list_port=$((base + 1))
upstream_port() { echo $((base + 10 + $1)); }
caller_port() { echo $((base + 20 + $1)); }
peer_port() { echo $((base + 30 + $1)); }

usage() {
    cat >&2 <<TEXT
usage: scripts/local-cell.sh start [NAME...]   starts all processes, or those that are named
       scripts/local-cell.sh stop [NAME...]    ends them with SIGTERM and waits
       scripts/local-cell.sh status            shows every process and the probes of the schedulers
       scripts/local-cell.sh send WORKLOAD [N] sends one request to scheduler-N (1)
Names: log vm-list upstream-1 to upstream-6 scheduler-1 to scheduler-3. Files are in $dir.
TEXT
    exit 2
}

names() {
    echo log vm-list
    for i in 1 2 3 4 5 6; do echo "upstream-$i"; done
    for i in 1 2 3; do echo "scheduler-$i"; done
}

write_settings() {
    local self=$1 i
    {
        printf '[scheduler]\nid = scheduler-%s\nregion = %s\nfailure-domain = %s-%s\nstop-grace = 60\n' \
            "$self" "$region" "$region" "$self"
        printf '[caller]\naddress = 127.0.0.1:%s\n' "$(caller_port "$self")"
        printf '[peers]\naddress = 127.0.0.1:%s\n' "$(peer_port "$self")"
        for i in 1 2 3; do
            [[ $i == "$self" ]] || printf '[peer scheduler-%s]\naddress = 127.0.0.1:%s\nregion = %s\n' \
                "$i" "$(peer_port "$i")" "$region"
        done
        printf '[log]\nurl = http://127.0.0.1:%s\n[vm-list]\nurl = http://127.0.0.1:%s\n' "$log_port" "$vm_list_port"
    } >"$dir/scheduler-$self.ini"
}

is_running() { [[ -f $dir/$1.pid ]] && kill -0 "$(cat "$dir/$1.pid")" 2>/dev/null; }

start_one() {
    local name=$1 number=${1##*-}
    local -a command
    case $name in
        log) command=(stand-in log --port "$log_port") ;;
        vm-list) command=(stand-in vm-list --port "$vm_list_port" upstream-{1..6}) ;;
        upstream-[1-6]) command=(stand-in upstream --port "$(upstream_port "$number")") ;;
        scheduler-[1-3])
            write_settings "$number"
            command=(run "$dir/$name.ini")
            ;;
        *) usage ;;
    esac
    if is_running "$name"; then
        echo "$name runs already"
        return
    fi
    # The launcher replaces itself with the JVM, so the id is that of the JVM.
    "$root/bin/anvilbarrow" "${command[@]}" >>"$dir/$name.log" 2>&1 </dev/null &
    echo $! >"$dir/$name.pid"
    echo "$name started, process $!"
}

stop_one() {
    is_running "$1" || return 0
    local pid tries
    pid=$(cat "$dir/$1.pid")
    kill -CONT "$pid"
    kill -TERM "$pid"
    for tries in $(seq 600); do
        kill -0 "$pid" 2>/dev/null || break
        sleep 0.1
    done
    if kill -0 "$pid" 2>/dev/null; then
        echo "$1 (process $pid) still runs after 60 s" >&2
        return 1
    fi
    rm -f "$dir/$1.pid"
    echo "$1 stopped"
}

wait_for() {
    local tries
    for tries in $(seq 300); do
        curl -sf -m 1 -o /dev/null "$1" && return
        sleep 0.1
    done
    echo "$1 did not answer within 30 s" >&2
    exit 1
}

append() {
    local change
    change=$(printf '{"type":"change","changeId":"local-cell-%s-%s","kind":"%s","name":"%s","spec":%s}' \
        "$1" "$2" "$1" "$2" "$3")
    change=${change//\\/\\\\}
    change=${change//\"/\\\"}
    curl -sf -m 5 -o /dev/null -H 'Content-Type: application/json' \
        -d "{\"payloads\":[\"$change\"]}" "http://127.0.0.1:$log_port/v1/log/append"
}

# The log ignores a change whose id it has seen, so this may be repeated.
declare_objects() {
    local i shard kind resources
    resources='{"cpuMillicores":4000,"memoryMebibytes":8192,"slots":1,"connections":1}'
    append shard s1 "{\"type\":\"shard\",\"region\":\"$region\",\"anchors\":[\"upstream-1\",\"upstream-3\",\"upstream-5\"]}"
    append shard s2 "{\"type\":\"shard\",\"region\":\"$region\",\"anchors\":[\"upstream-2\",\"upstream-4\",\"upstream-6\"]}"
    append region "$region" '{"type":"region","homeShards":["s1","s2"]}'
    for i in 1 2 3 4 5 6; do
        shard=s$((2 - i % 2))
        append upstream "upstream-$i" "{\"type\":\"upstream\",\"address\":\"127.0.0.1:$(upstream_port "$i")\",\
\"shard\":\"$shard\",\"rack\":\"rack-$shard\",\"failureDomain\":\"$region-$(((i - 1) / 2 + 1))\",\
\"capacity\":{\"cpuMillicores\":64000,\"memoryMebibytes\":262144,\"slots\":8,\"connections\":64}}"
    done
    for kind in 'map-tiles service 1 urgent' 'weekly-digest batch 1 deferrable' 'route-model gang 3 normal'; do
        read -r name what tasks urgency <<<"$kind"
        append workload "$name" "{\"type\":\"workload\",\"workloadKind\":\"$what\",\"region\":\"$region\",\
\"resources\":$resources,\"tasks\":$tasks,\"urgency\":\"$urgency\"}"
    done
}

start() {
    mkdir -p "$dir"
    local name
    for name in "$@"; do start_one "$name"; done
    if [[ " $* " == *" log "* ]]; then
        wait_for "http://127.0.0.1:$log_port/v1/log/records?from=0"
        declare_objects
        echo "workloads map-tiles, weekly-digest and route-model are declared"
    fi
}

status() {
    local name number state
    for name in $(names); do
        state=stopped
        is_running "$name" && state="process $(cat "$dir/$name.pid")"
        if [[ $name == scheduler-* && $state != stopped ]]; then
            number=${name##*-}
            state+=", callers on 127.0.0.1:$(caller_port "$number"), "
            state+=$(curl -s -m 1 "http://127.0.0.1:$(caller_port "$number")/ready" || echo "does not answer")
        fi
        printf '%-12s %s\n' "$name" "$state"
    done
}

send() {
    local now deadline
    now=$(date -u +%Y-%m-%dT%H:%M:%S.%3NZ)
    deadline=$(date -u -d '+10 seconds' +%Y-%m-%dT%H:%M:%S.%3NZ)
    curl -sS -m 20 -w 'status %{http_code} after %{time_total} s\n' -D - \
        -H "Request-Id: ${REQUEST_ID:-local-$$-$RANDOM$RANDOM}" -H "Request-Issued-At: $now" \
        -H "Request-Deadline: $deadline" -H "Request-Attempt: first" \
        ${TRACEPARENT:+-H "traceparent: $TRACEPARENT"} -d "${BODY:-hello}" \
        "http://127.0.0.1:$(caller_port "${2:-1}")/v1/workloads/$1/requests"
}

[[ $# -ge 1 ]] || usage
action=$1
shift
case $action in
    start)
        [[ $# -gt 0 ]] || set -- $(names)
        start "$@"
        ;;
    stop)
        # Schedulers go first, so that they can give their leases back.
        [[ $# -gt 0 ]] || set -- $(names | tac)
        failed=0
        for name in "$@"; do stop_one "$name" || failed=1; done
        exit "$failed"
        ;;
    status) status ;;
    send) [[ $# -ge 1 ]] && send "$@" || usage ;;
    *) usage ;;
esac
