#!/bin/bash
# Builds every stand-in that the scripts in review/6 to review/10 start: emulated machines, the machine list, the
# proxies, and the client of the API are parts of one program. It runs after the build of deploy/balancer.toml, which
# makes bin/glenport.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review2-cases ./review/_lab2/cases
