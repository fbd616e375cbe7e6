#!/usr/bin/env bash
# Checks the C++ files of the project with clang-format and clang-tidy.
# With file names as arguments, checks only those files. With --fix, only formats the files in place.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
fix=0
if [ "${1:-}" = --fix ]; then
    fix=1
    shift
fi
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp')
fi
if [ "$fix" = 1 ]; then
    clang-format -i "${files[@]}"
    exit 0
fi
printf '%s\0' "${files[@]}" | xargs -0 -n 40 clang-format --dry-run --Werror
echo "formatter: ${#files[@]} files clean"
# Files that pass clang-tidy are recorded under build/lint. The key of a record is made of digests of the
# file, of all project headers and of .clang-tidy, so a file is analysed again only when one of these
# has changed.
headers=$(git ls-files --cached --others --exclude-standard '*.hpp' | xargs cat | sha256sum | cut -c1-16)
rules=$(sha256sum .clang-tidy | cut -c1-16)
mkdir -p build/lint
check_one() {
    key=$(sha256sum "$1" | cut -c1-24)-$2
    [ -e "build/lint/$key" ] && return 0
    clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p build "$1" 2>build/lint/errors-$$ || {
        grep -Ev 'warnings? (and|generated)' build/lint/errors-$$ >&2
        rm -f build/lint/errors-$$
        return 1
    }
    rm -f build/lint/errors-$$
    : >"build/lint/$key"
}
export -f check_one
sources=()
for f in "${files[@]}"; do
    case "$f" in *.cpp) sources+=("$f") ;; esac
done
if [ ${#sources[@]} -gt 0 ]; then
    printf '%s\0' "${sources[@]}" | xargs -0 -P "$(nproc)" -I{} bash -c 'check_one "$1" "$2"' _ {} "$headers-$rules"
fi
echo "linter: ${#sources[@]} files clean"
