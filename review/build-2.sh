#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The gateway itself is built as the deploy
# file says.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review2 ./review/_stand2
