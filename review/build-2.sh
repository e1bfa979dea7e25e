#!/bin/sh
# Builds the stand-ins of the second review's cases, review/4 and following, into target/review-2.
# They are a Go module of their own without dependencies, outside CI.
set -eu
cd "$(dirname "$0")/.."
go build -C review/stand2 -o ../../target/review-2/stand .
