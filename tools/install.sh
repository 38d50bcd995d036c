#!/usr/bin/env bash
# Installs those Debian packages that the build needs and that are missing.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache clang-format clang-tidy
    libboost1.81-dev libboost-test1.81-dev libboost-json1.81-dev
    libcereal-dev libtclap-dev libfmt-dev libtomlplusplus-dev libssl-dev
    curl gnuplot-nox
)

missing=()
for package in "${packages[@]}"; do
    if [ "$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null)" != "install ok installed" ]; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi

echo "installing: ${missing[*]}" >&2
run_as_root=()
if [ "$(id -u)" -ne 0 ]; then
    run_as_root=(sudo)
fi
"${run_as_root[@]}" apt-get update -qq
"${run_as_root[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
