#!/usr/bin/env bash
# Installs the library into a prefix inside the build directory, and builds and runs examples/embed against it. Fails
# unless the answer covers all its shards.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
build=$(cd "$build" && pwd)
prefix=$build/embed-prefix
ninja -C "$build" libibisrock.a
rm -rf "$prefix" "$build/embed"
cmake --install "$build" --prefix "$prefix" --component library >/dev/null
cmake -S examples/embed -B "$build/embed" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_PREFIX_PATH="$prefix" \
  >/dev/null
ninja -C "$build/embed"
answer=$("$build/embed/embed")
echo "$answer"
grep -qx 'verdict ran, index version 1, covered 3, missing 0' <<<"$answer"
