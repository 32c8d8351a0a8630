#!/bin/sh
# Builds the stand-ins of the third review. The programs of the deploy file are built
# with its own line.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -ldflags=-linkmode=external -o target/stand3 ./review/_stand3
