#!/usr/bin/env bash
# Installs missing packages and builds the given preset (default: release).
set -euo pipefail
cd "$(dirname "$0")/.."
preset="${1:-release}"
./tools/install.sh
cmake --preset "$preset" -Wno-dev >/dev/null
cmake --build --preset "$preset"
