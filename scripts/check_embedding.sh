#!/usr/bin/env bash
# Installs the packages into a folder under build/, builds the embedding example against only the
# installed packages, and checks the output of the example.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
prefix="$root/build/embed-prefix"
rm -rf "$prefix" "$root/build/embed"
cmake --install "$root/build" --prefix "$prefix" >/dev/null
cmake -S "$root/apps/embed_decider" -B "$root/build/embed" -G Ninja -DCMAKE_PREFIX_PATH="$prefix" >/dev/null
cmake --build "$root/build/embed" >/dev/null
printed=$("$root/build/embed/embed_decider")
expected=$'caller 1: preview of field 7\ncaller 2: preview of field 8'
if [ "$printed" != "$expected" ]; then
    printf 'expected:\n%s\nfound:\n%s\n' "$expected" "$printed" >&2
    exit 1
fi
echo "the installed packages are usable"
