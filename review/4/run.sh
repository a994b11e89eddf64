#!/usr/bin/env bash
# Plays case 4. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
timeout --kill-after=2 117 target/standin otherWriter review/4
code=$?
if [ "$code" -gt 1 ]; then
  exit 2
fi
exit "$code"
