# Functions that run the whole system on this machine, for ./demo and standins/failures. The
# caller of these functions sets -euo pipefail and runs at the root of the repository.
# shellcheck shell=bash

readonly KEYED_NODES=${FLEET_KEYED_NODES:-5}
readonly UNKEYED_NODES=${FLEET_UNKEYED_NODES:-3}
readonly NODES=$((KEYED_NODES + UNKEYED_NODES))
readonly ZONES=(zone-a zone-b zone-c)
readonly SLICES=${FLEET_SLICES:-64}
readonly SLOTS=${FLEET_SLOTS:-6}
readonly PORTS_PER_NODE=5
readonly PROFILE=${DEMO_PROFILE:-release}
readonly SEED=${DEMO_SEED:-1}
readonly RATE=${DEMO_RATE:-400}

pids=()
declare -A pid_of
run_dir=''
summary=''
caller_code=0
bin=${CARGO_TARGET_DIR:-target}/$([[ $PROFILE == dev ]] && echo debug || echo "$PROFILE")

# Builds every program that the system needs.
build_programs() {
    "${CARGO:-cargo}" build --quiet --locked --profile "$PROFILE" -p wagtail-daemon \
        -p wagtail-tool -p platform-standin -p target-standin -p caller-standin
}

# Prints a failure and ends.
fail() {
    echo "$(basename "$0"): $*" >&2
    exit 1
}

# Succeeds while a process of the run lives.
any_running() {
    local pid

    for pid in "${pids[@]}"; do
        if kill -0 "$pid" 2>/dev/null; then return 0; fi
    done
    return 1
}

# Prints the identifiers of the processes that still run.
running_pids() {
    local pid running=()

    for pid in "${pids[@]}"; do
        if kill -0 "$pid" 2>/dev/null; then running+=("$pid"); fi
    done
    echo "${running[*]}"
}

# Ends every process that was started, by its identifier, also one that is stopped.
stop_all() {
    local pid tries

    for pid in "${pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
        kill -CONT "$pid" 2>/dev/null || true
    done
    for tries in $(seq 20); do
        any_running || break
        sleep 0.1
    done
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    pids=()
}

# Starts a process in the background: start NAME COMMAND...
start() {
    local name=$1
    shift

    "$@" >>"$run_dir/$name.log" 2>&1 &
    pid_of[$name]=$!
    pids+=("$!")
}

# Succeeds when something listens on a port.
port_taken() {
    (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

# Prints the first port of a free range.
find_ports() {
    local base port taken
    local count=$((1 + NODES * PORTS_PER_NODE))

    for base in 21000 21100 21200 21300 21400 21500 21600 21700; do
        taken=false
        for ((port = base; port < base + count; port++)); do
            if port_taken "$port"; then
                taken=true
                break
            fi
        done
        if ! $taken; then
            echo "$base"
            return
        fi
    done
    fail 'no free range of ports from 21000 on'
}

# Waits until something listens on a port: wait_for_port PORT NAME
wait_for_port() {
    local tries

    for tries in $(seq 100); do
        if port_taken "$1"; then return; fi
        kill -0 "${pid_of[$2]}" 2>/dev/null ||
            fail "$2 ended at once: $(tail -n 3 "$run_dir/$2.log")"
        sleep 0.1
    done
    fail "$2 does not listen on port $1"
}

# Prints a port of a node: node_port NODE callers|peers|admin|local|target
node_port() {
    local first=$((base_port + 1 + ($1 - 1) * PORTS_PER_NODE))

    case $2 in
    callers) echo "$first" ;;
    peers) echo $((first + 1)) ;;
    admin) echo $((first + 2)) ;;
    local) echo $((first + 3)) ;;
    target) echo $((first + 4)) ;;
    esac
}

# Sends a control call to a stand-in: control PORT JSON
control() {
    local status

    exec 3<>"/dev/tcp/127.0.0.1/$1"
    printf 'POST /control/faults HTTP/1.1\r\nhost: standin\r\nconnection: close\r\ncontent-length: %d\r\n\r\n%s' \
        "${#2}" "$2" >&3
    read -r status <&3
    exec 3>&-
    [[ $status == *' 200 '* ]] || fail "the control call $2 failed: $status"
}

# Writes the settings file of a node.
write_settings() {
    local node=$1
    local zone=${ZONES[$(((node - 1) % ${#ZONES[@]}))]}

    cat >"$run_dir/vm-$node.yaml" <<SETTINGS
node: vm-$node
zone: $zone
listen:
  callers: 127.0.0.1:$(node_port "$node" callers)
  peers: 127.0.0.1:$(node_port "$node" peers)
  admin: 127.0.0.1:$(node_port "$node" admin)
  local: 127.0.0.1:$(node_port "$node" local)
admin_token: $token
platform: 127.0.0.1:$base_port
log: info
SETTINGS
}

# Writes the intent: one keyed service and one that is not, with the same operations.
write_intent() {
    local service keyed

    echo 'services:' >"$run_dir/intent.yaml"
    for service in agenda patrones; do
        keyed=$([[ $service == agenda ]] && echo true || echo false)
        cat >>"$run_dir/intent.yaml" <<INTENT
  - name: $service
    keyed: $keyed
    slices: $SLICES
    slots: $SLOTS
    connections: 120
    fenced: $keyed
    operations:
      - {name: list, method: GET, path: /items, idempotent: true, class: short}
      - {name: create, method: POST, path: /items, idempotent: false, class: short}
      - {name: download, method: GET, path: /files, idempotent: true, class: long}
    tenants:
      - {name: malla, weight: 2}
      - {name: suturo, weight: 2}
INTENT
    done
}

# Starts the daemon of a node.
start_daemon() {
    start "wagtaild-$1" "$bin/wagtaild" --config "$run_dir/vm-$1.yaml"
    # The shell is not to report a process that is killed on purpose.
    disown "${pid_of[wagtaild-$1]}"
}

# Starts the target of a node.
start_target() {
    local node=$1
    local service=agenda
    local fenced=(--fenced)

    if ((node > KEYED_NODES)); then
        service=patrones
        fenced=()
    fi
    start "target-$node" "$bin/target-standin" \
        --listen "127.0.0.1:$(node_port "$node" target)" \
        --daemon "127.0.0.1:$(node_port "$node" local)" \
        --service "$service" --slots "$SLOTS" --seed "$node" "${fenced[@]}" \
        --log "$run_dir/executions-$node.jsonl"
    disown "${pid_of[target-$node]}"
}

# Sends a signal to the daemon and the target of a node: signal_vm SIGNAL NODE
signal_vm() {
    kill "-$1" "${pid_of[wagtaild-$2]}" "${pid_of[target-$2]}" ||
        fail "vm-$2 ended before it got the signal $1"
}

# Runs the tool against the first node.
tool() {
    WAGTAIL_NODE=127.0.0.1:$(node_port 1 admin) WAGTAIL_TOKEN=$token "$bin/wagtail" "$@"
}

# Plans the intent and confirms the plan.
apply_intent() {
    local plan tries

    write_intent
    for tries in $(seq 50); do
        if tool --output json plan "$run_dir/intent.yaml" >"$run_dir/plan.json" \
            2>"$run_dir/plan.err"; then
            break
        fi
        sleep 0.2
    done
    plan=$(sed -n 's/^ *"id": *"\([^"]*\)".*/\1/p' "$run_dir/plan.json" | head -n 1)
    [[ -n $plan ]] || fail "no plan: $(cat "$run_dir/plan.err")"
    tool confirm "$plan" >"$run_dir/confirm.out" 2>&1 ||
        fail "no confirmation: $(cat "$run_dir/confirm.out")"
}

# Starts the platform and every node, and applies the intent.
start_fleet() {
    local node

    run_dir=$(mktemp -d "${TMPDIR:-/tmp}/wagtail-demo.XXXXXX")
    token=demo-$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
    base_port=$(find_ports)

    start platform "$bin/platform-standin" --listen "127.0.0.1:$base_port" --seed "$SEED"
    wait_for_port "$base_port" platform
    for node in $(seq "$NODES"); do
        write_settings "$node"
        start_daemon "$node"
        start_target "$node"
    done
    for node in $(seq "$NODES"); do
        wait_for_port "$(node_port "$node" admin)" "wagtaild-$node"
    done
    apply_intent
}

# Joins its arguments by commas.
join_commas() {
    local IFS=,
    echo "$*"
}

# Succeeds while the callers run.
callers_run() {
    kill -0 "${pid_of[callers]}" 2>/dev/null
}

# Runs the callers, and a function when half of the requests are sent. Leaves the callers' last
# line in `summary` and their exit code in `caller_code`: run_callers REQUESTS FUNCTION
run_callers() {
    local node addresses=() logs=()

    for node in $(seq "$NODES"); do
        addresses+=("127.0.0.1:$(node_port "$node" callers)")
        logs+=("$run_dir/executions-$node.jsonl")
    done
    caller_code=0
    start callers "$bin/caller-standin" --nodes "$(join_commas "${addresses[@]}")" \
        --services "agenda:$SLICES,patrones" --requests "$1" --rate "$RATE" --seed "$SEED" \
        --check-logs "${logs[@]}"

    while callers_run && ! grep -qs 'half of the requests' "$run_dir/callers.log"; do
        sleep 0.1
    done
    if callers_run; then "$2"; fi
    wait "${pid_of[callers]}" || caller_code=$?

    summary=$(grep '^demo: ' "$run_dir/callers.log" | tail -n 1) || true
    [[ -n $summary ]] ||
        fail "the callers ended with code $caller_code: $(tail -n 1 "$run_dir/callers.log")"
}
