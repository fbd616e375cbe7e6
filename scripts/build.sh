#!/usr/bin/env bash
# Configures and builds the whole workspace into build/.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
export CCACHE_BASEDIR="$root" CCACHE_NOHASHDIR=1
cmake -S "$root" -B "$root/build" -G Ninja >"$root/build-configure.log" 2>&1 || {
    cat "$root/build-configure.log"
    exit 1
}
rm -f "$root/build-configure.log"
cmake --build "$root/build" "$@"
