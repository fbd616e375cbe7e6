#!/usr/bin/env bash
# Runs a complete cluster on this machine: stand-ins for the platform and the VMs, three daemons in three
# availability zones of two regions, and work of every kind. Kills one daemon while work is running.
# Exits 0 only if all work finished with the expected answers and no promise was broken.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
bin="$root/build/bin"
folder=$(mktemp -d)
started=()

stop_all() {
    for pid in "${started[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "${started[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$folder"
}
trap stop_all EXIT

say() { printf '\n== %s\n' "$*"; }

fail() {
    printf 'demo: %s\n' "$*" >&2
    exit 1
}

# start NAME PROGRAM ARGUMENTS: starts a program in the background and waits about 60 s at most until it
# prints the address on which it listens. Sets $address.
start() {
    local name=$1
    shift
    "$bin/$1" "${@:2}" >"$folder/$name.out" 2>"$folder/$name.log" &
    started+=($!)
    for _ in $(seq 600); do
        address=$(sed -n 's/^listening //p' "$folder/$name.out")
        [ -z "$address" ] || return 0
        kill -0 "${started[-1]}" 2>/dev/null || fail "$name exited: $(cat "$folder/$name.log")"
        sleep 0.1
    done
    fail "$name did not start listening within 60 s"
}

start_daemon() {
    local number=$1 region=$2 zone=$3
    cat >"$folder/entry-$number.toml" <<SETTINGS
[identity]
vm = "entry-$number"
region = "$region"
zone = "$zone"
[listen]
http = "127.0.0.$number:0"
mesh = "127.0.0.$number:0"
[platform]
kind = "http"
address = "$platform"
[mesh]
secret = "the secret of the demo's daemons"
SETTINGS
    start "entry-$number" cranberrydock --settings="$folder/entry-$number.toml"
    entries+=("$address")
    daemons+=("${started[-1]}")
}

ctl() { "$bin/cranberryctl" "$@" --entry="$entry"; }

# await PATTERN COMMAND: runs the command every 0.1 s, at most 300 times, until its output matches the
# pattern.
await() {
    local pattern=$1
    shift
    for _ in $(seq 300); do
        if "$@" 2>/dev/null | grep -q "$pattern"; then
            return 0
        fi
        sleep 0.1
    done
    fail "'$pattern' did not appear in the output of: $*"
}

say "install and build"
bash "$root/scripts/install.sh"
bash "$root/scripts/build.sh" --target cranberrydock cranberryctl standin_platform standin_vm | tail -1

say "start the stand-ins and three daemons"
entries=()
daemons=()
start platform standin_platform --listen=127.0.0.1:0
platform=$address
start vms standin_vm --platform="$platform" --count=3 \
    --zones=northcoast/northcoast-a,northcoast/northcoast-b,southvale/southvale-a
vms=$address
start_daemon 1 northcoast northcoast-a
start_daemon 2 northcoast northcoast-b
start_daemon 3 southvale southvale-a
printf 'platform %s, VMs %s, daemons %s\n' "$platform" "$vms" "${entries[*]}"

say "create a team, queues and cells with a configuration patch, then an operator key and a team key"
entry="${entries[0]},${entries[1]},${entries[2]}"
cat >"$folder/first.json" <<PATCH
{"teams": {"crews": {"home_region": "northcoast", "share": 1, "upper_limit": 64}},
 "queues": {"previews": {"policy": "latency", "default_deadline_ms": 30000},
            "mosaics": {"policy": "must_finish"}, "masks": {"policy": "batch"},
            "stitching": {"policy": "gang"}},
 "cells": {"northcoast-a": {"region": "northcoast", "zone": "northcoast-a"},
           "northcoast-b": {"region": "northcoast", "zone": "northcoast-b"},
           "southvale-a": {"region": "southvale", "zone": "southvale-a"}}}
PATCH
await '"version":0\|"version": 0' ctl config get --output=json
ctl config patch "$folder/first.json"
operator=$(ctl key create --operations --output=json | python3 -c 'import json,sys; print(json.load(sys.stdin)["key"])')
crews=$(ctl key create --team=crews --key="$operator" --output=json | python3 -c 'import json,sys; print(json.load(sys.stdin)["key"])')
for zone in northcoast-a northcoast-b southvale-a; do
    await "$zone.*entry-" ctl cells --key="$operator"
done
ctl cells --key="$operator"

say "submit a preview through the southvale daemon and wait for the answer"
entry="${entries[2]},${entries[1]}"
ctl submit --key="$crews" --queue=previews --kind=preview --payload='{"for_ms":20,"answer":"preview of field 7"}'

say "submit a mosaic that may not be repeated, a batch of 12 masks and a gang of 4 in the background"
ctl submit --key="$crews" --queue=mosaics --kind=mosaic --not_repeatable --idempotency_key=mosaic-1 \
    --payload='{"for_ms":4000,"answer":"mosaic of the abbey","mark":"mosaic-1"}' >"$folder/mosaic.txt" 2>&1 &
mosaic=$!
ctl submit --key="$crews" --queue=masks --kind=mask --job --wait --tasks=12 --idempotency_key=masks-1 \
    --payload='{"for_ms":2500,"answer":"mask"}' >"$folder/masks.txt" 2>&1 &
masks=$!
ctl submit --key="$crews" --queue=stitching --kind=stitch --job --wait --gang --tasks=4 \
    --idempotency_key=stitch-1 --payload='{"for_ms":3000,"answer":"stitched"}' >"$folder/stitch.txt" 2>&1 &
stitch=$!
await '"starts":1[0-9]' curl -s "http://$vms/judge"

say "kill the daemon in northcoast-a while this work is running"
kill -KILL "${daemons[0]}"
wait "${daemons[0]}" 2>/dev/null || true
wait $mosaic || fail "the mosaic did not finish: $(cat "$folder/mosaic.txt")"
wait $masks || fail "the masks did not finish: $(cat "$folder/masks.txt")"
wait $stitch || fail "the gang did not finish: $(cat "$folder/stitch.txt")"
printf -- '-- mosaic\n'
cat "$folder/mosaic.txt"
printf -- '-- masks\n'
cat "$folder/masks.txt"
printf -- '-- stitching\n'
cat "$folder/stitch.txt"
grep -q 'mosaic of the abbey' "$folder/mosaic.txt" || fail "the answer of the mosaic is not the expected one"

say "submit the same mosaic again: the saved answer is returned and the mosaic does not run again"
ctl submit --key="$crews" --queue=mosaics --kind=mosaic --not_repeatable --idempotency_key=mosaic-1 \
    --payload='{"for_ms":4000,"answer":"mosaic of the abbey","mark":"mosaic-1"}'

say "the cell owners after the takeover, and the VMs' record of broken promises"
ctl cells --key="$operator"
verdict=$(curl -s "http://$vms/judge")
printf '%s\n' "$verdict"
printf '%s' "$verdict" | grep -q '"total":0' || fail "the VMs recorded a broken promise"

say "stop the daemons gracefully"
for i in 1 2; do
    kill -TERM "${daemons[$i]}"
    wait "${daemons[$i]}" || fail "daemon $((i + 1)) did not stop cleanly"
done
say "all work finished, no promise was broken"
