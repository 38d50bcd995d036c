#!/usr/bin/env bash
# Formats all source files. With --check, only reports files that are not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
if [ "${1:-}" = "--check" ]; then
    mode=(--dry-run -Werror)
fi
find core policy query routing platform control membership usage storage transport main tests tools \( -name '*.cpp' -o -name '*.h' \) -print0 |
    xargs -0 -r -P 8 -n 8 clang-format "${mode[@]}"
