#!/usr/bin/env bash
# Runs the Notensatz example as separate processes on loopback: the platform stand-in, a server
# stand-in for each server of the inventory and an entry VM process for each of its entry VMs.
# Sends a look-up and a request of each class, then stops everything.
#
# Usage: scripts/run-processes.sh [--keep]
#   --keep     keep the deployment running until Enter, end of input or Ctrl-C
# Environment:
#   BIN_DIR    folder with the binaries [default: build them in release mode with cargo]
set -euo pipefail
cd "$(dirname "$0")/.."

keep=no
case "${1:-}" in
'') ;;
--keep) keep=yes ;;
*)
    sed -n '2,9s/^# \{0,1\}//p' "$0" >&2
    exit 2
    ;;
esac

inventory=examples/notensatz/inventory.json
rules=examples/notensatz/rules.json
platform=127.0.0.1:18010

if [ -z "${BIN_DIR:-}" ]; then
    cargo build --release --locked --workspace --bins
    BIN_DIR="${CARGO_TARGET_DIR:-target}/release"
fi
cli="$BIN_DIR/rosemaryglade"

umask 077
dir=$(mktemp -d)
stand_ins=()
entry_vms=()
declare -A name_of

# Tells whether any of the processes still runs.
any_runs() {
    local pid
    for pid in "$@"; do
        if kill -0 "$pid" 2>/dev/null; then return 0; fi
    done
    return 1
}

# Stops this script's own processes: the entry VMs gracefully first, as they need the servers.
stop() {
    local code=$? pid
    trap - EXIT INT TERM
    if [ ${#entry_vms[@]} -gt 0 ]; then
        echo "stopping; entry VMs wait until their last ticket or key (10 s) has expired"
        for pid in "${entry_vms[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
        # An entry VM that hangs must not keep the script from ending.
        local i
        for ((i = 0; i < 180; i++)); do
            if ! any_runs "${entry_vms[@]}"; then break; fi
            sleep 0.5
        done
        for pid in "${entry_vms[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
        for pid in "${entry_vms[@]}"; do
            if ! wait "$pid" 2>/dev/null; then
                echo "entry VM ${name_of[$pid]} did not stop gracefully" >&2
                code=1
            fi
        done
    fi
    for pid in "${stand_ins[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${stand_ins[@]}"; do wait "$pid" 2>/dev/null || true; done
    case $code in
    # An interrupt is the usual end of a run with --keep.
    0 | 130 | 143) rm -r "$dir" ;;
    *) echo "logs and settings are kept in $dir" >&2 ;;
    esac
    exit "$code"
}
trap stop EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Starts a stand-in in the background: NAME PROGRAM ARGUMENT...
start_stand_in() {
    local name=$1
    shift
    RUST_LOG=info "$BIN_DIR/$@" >"$dir/$name.log" 2>&1 &
    stand_ins+=($!)
    name_of[$!]=$name
}

# Fails if a process has ended, for example because its port is in use.
check_running() {
    local pid
    for pid in "${stand_ins[@]}" "${entry_vms[@]}"; do
        if ! kill -0 "$pid" 2>/dev/null; then
            echo "${name_of[$pid]} has ended:" >&2
            tail -n 3 "$dir/${name_of[$pid]}.log" >&2
            return 1
        fi
    done
}

# Sets the variables item_KEY from a line of key=value pairs.
read_pairs() {
    local pair
    for pair in $1; do
        printf -v "item_${pair%%=*}" '%s' "${pair#*=}"
    done
}

start_stand_in platform rosemaryglade-platform --listen "$platform"
"$cli" list --inventory "$inventory" servers >"$dir/servers"
while read -r line; do
    read_pairs "$line"
    binding=()
    if [ "$item_class" = binding ]; then binding=(--binding); fi
    start_stand_in "$item_id" rosemaryglade-server --listen "$item_address" --name "$item_id" \
        --slots "$item_slots" --connections "$item_connections" "${binding[@]}"
done <"$dir/servers"
echo "started the platform stand-in and $((${#stand_ins[@]} - 1)) server stand-ins"

secret=$(head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n')
echo "[{ id: 1, secret: '$secret' }]" >"$dir/keys.json"
"$cli" list --inventory "$inventory" entry-vms >"$dir/entry-vms"
first_caller=
while read -r line; do
    read_pairs "$line"
    first_caller=${first_caller:-$item_caller_address}
    "$cli" settings --inventory "$inventory" --vm "$item_id" --platform "$platform" \
        --key-file "$dir/keys.json" >"$dir/$item_id.json"
    "$BIN_DIR/rosemaryglade-entry" --settings "$dir/$item_id.json" >"$dir/$item_id.log" 2>&1 &
    entry_vms+=($!)
    name_of[$!]=$item_id
    # The platform lists its VMs itself; its stand-in has to be told.
    if command -v curl >/dev/null; then
        curl --silent --show-error --fail --retry 5 --retry-connrefused --max-time 10 -X PUT \
            -d '{"state":"live"}' "http://$platform/vms/$item_id" >/dev/null
    fi
done <"$dir/entry-vms"
echo "started ${#entry_vms[@]} entry VMs; settings and logs are in $dir"

sleep 1
check_running
"$cli" apply --platform "$platform" --inventory "$inventory" --rules "$rules" --base 0 \
    --author run-processes
# An entry VM uses slots only after its peers count it, a moment after it has the configuration.
has_slots() {
    ! "$cli" status --platform "$platform" --json | grep -qE '"[a-z]+dienst": ?0[,}[:space:]]'
}
for ((i = 0; i < 40; i++)); do
    check_running
    if "$cli" status --platform "$platform" >"$dir/status" && has_slots; then break; fi
    sleep 0.5
done
cat "$dir/status"
# Fails here if an entry VM still does not answer or is behind.
"$cli" status --platform "$platform" >/dev/null

# Prints a command and runs it if curl is installed.
show_curl() {
    printf '$ curl'
    printf ' %q' "$@"
    printf '\n'
    if command -v curl >/dev/null; then
        curl --silent --show-error --fail-with-body --max-time 10 "$@"
        printf '\n'
    fi
}

url=http://$first_caller
show_curl "$url/lookup?service=werkdienst&client=198.18.0.7"
show_curl -H 'x-service: werkdienst' -H 'x-house: haus-1' "$url/werke/42"
show_curl -H 'x-service: nachlassdienst' -H 'x-deadline-ms: 9000' "$url/suche?q=quartett"
if command -v curl >/dev/null; then
    answer=$(curl --silent --show-error --fail --max-time 10 "$url/lookup?service=bestelldienst")
    ticket=$(sed -n 's/.*"ticket":"\([^"]*\)".*/\1/p' <<<"$answer")
    owner=$(sed -n 's/.*"entry_vms":\[{[^}]*"address":"\([^"]*\)".*/\1/p' <<<"$answer")
else
    ticket=TICKET owner=$first_caller
    echo "curl is not installed; these are the commands:"
    show_curl "$url/lookup?service=bestelldienst"
fi
show_curl -H 'x-service: bestelldienst' -H "x-ticket: $ticket" -d 'ein Auftrag' \
    "http://$owner/auftraege"

if [ "$keep" = yes ]; then
    echo "running; press Enter to stop"
    read -r || true
fi
echo "done"
