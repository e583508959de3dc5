#!/bin/sh
# Builds the stand-ins that the scripts of cases 4 to 7 start. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-2/stage ./review/stage
