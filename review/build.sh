#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: store, routers, requesters and servers.
# The system itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/standin ./review/standin
