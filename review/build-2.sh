#!/bin/sh
# Builds the stand-ins of the second review. Run it in the root of the repository,
# after the build of deploy/system.toml.
set -e
go build -tags review -o target/review-stand ./review/stand
go build -tags review -o target/review-mild ./review/mild
