#!/bin/sh
# Builds the stand-ins and drivers of the cases. The programs of the project are built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-lab ./review/_lab
