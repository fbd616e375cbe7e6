#!/usr/bin/env bash
# Installs the Debian packages that the build, the linter and the tests need (scripts/packages.txt).
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
mapfile -t packages <"$root/scripts/packages.txt"
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
    exit 0
fi
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
export DEBIAN_FRONTEND=noninteractive
$sudo apt-get update -q
$sudo apt-get install -y -q "${packages[@]}"
