#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. The controllers themselves are built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/standin2
