#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start besides the build of the deploy file.
# Their stand-ins are plain programs for node, so this only checks that node reads them.
set -euo pipefail
cd "$(dirname "$0")"
for program in rig-3/rig 1[1-5]/case; do
  [ ! -e "$program" ] || node --check "$program"
done
