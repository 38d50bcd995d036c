#!/usr/bin/env bash
# Runs clang-tidy in parallel on the given source files, or on all of them.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset lint -Wno-dev >/dev/null
if [ "$#" -gt 0 ]; then
    printf '%s\0' "$@"
else
    # The slowest files, which include Asio and Beast, start first.
    find transport main tests tools platform storage core policy query routing control membership usage -name '*.cpp' -print0
fi | xargs -0 -r -P "$(nproc)" -n 1 clang-tidy -p build/lint --quiet 2>/dev/null
