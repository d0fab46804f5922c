#!/usr/bin/env bash
# Short runs of the fault soak. What they check does not depend on how fast
# the machine is. Seeds that failed are kept here with their cause:
#   102 doubled writes, with a write sent again on purpose (to see it fail)
set -euo pipefail
cd "$(dirname "$0")/.."
SKIP_BUILD=1 exec support/soak --seconds 5 --instances 3 7 102 104
