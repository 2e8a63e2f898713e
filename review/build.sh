#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program that stands in for the state service, the cloud, the workers,
# the users and their load balancer. It needs no network: the stand-ins use only modules that the program uses.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
