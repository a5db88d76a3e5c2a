#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are plain JavaScript on Node.js alone, so this only checks that each can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in rig/store rig/minion rig/record rig/cluster; do
  node --input-type=module -e "await import('./$file')"
done
test -f ../target/main.js || echo 'target/main.js is missing: run the build of deploy/system.toml first'
