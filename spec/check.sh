#!/usr/bin/env bash
# Checks each model exhaustively and makes sure that each mutation is found.
# Usage: spec/check.sh
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
cd "$work"

# check MODEL [MUTATION] prints the number of errors that spin found, and fails if
# the search was not exhaustive.
check() {
  local model="$1" mutation="${2:-}"
  spin ${mutation:+-D"$mutation"} -a "$here/$model.pml" >spin.log
  gcc -O2 -DSAFETY -DNOCLAIM -DCOLLAPSE -DVECTORSZ=2048 -DMEMLIM=6000 -o pan pan.c 2>gcc.log
  ./pan -m200000 >pan.log 2>&1
  if ! grep -q 'State-vector' pan.log || grep -qE 'max search depth too small|Search not completed|MEMLIM' pan.log && ! grep -q 'errors: [1-9]' pan.log; then
    cat pan.log >&2
    echo "the search of $model was not complete" >&2
    exit 1
  fi
  sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log
}

failed=0
# expect good|bad MODEL [MUTATION] checks that a model has no errors (good) or some
# (bad).
expect() {
  local want="$1" model="$2" mutation="${3:-}" errors
  errors="$(check "$model" "$mutation")"
  local name="$model${mutation:+ with mutation $mutation}"
  if { [ "$want" = good ] && [ "$errors" = 0 ]; } || { [ "$want" = bad ] && [ "$errors" != 0 ]; }; then
    echo "ok: $name ($(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log) states, $errors errors)"
  else
    echo "FAILED: $name has $errors errors"
    failed=1
  fi
}

expect good commit
expect bad commit NOCAS
expect bad commit DOWN
expect good flow
expect bad flow NOASK
expect bad flow NOREDIRECT
expect good once
expect bad once NORESERVE
expect bad once NOFORGOT
expect bad once PAIR
expect good refuse
expect bad refuse FIRST
expect bad refuse LATE
expect good mark
expect bad mark UNSETTLED
expect bad mark LATEPIN
expect bad mark NOPIN
expect good reset
expect bad reset NOREFERENCE
expect bad reset ONCE
expect good warmup
expect bad warmup NOHOLDDOWN
expect bad warmup LIVEONLY
expect bad warmup NOHEARING
expect bad warmup NOREGAIN
expect bad warmup SOON
expect good era
expect good era TWICE
expect bad era REVISIONS
expect bad era ACCEPT
expect bad era LATE
expect bad era DELTA
expect bad era NOQUERY
exit "$failed"
