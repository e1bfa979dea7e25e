#!/bin/sh
# Builds the stand-ins of the cases (review/rig), which need nothing but Go's standard library,
# into target/. The controllers are built by the build command of deploy/service.toml.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target"
cd "$root/review/rig"
GOFLAGS=-mod=mod GOWORK=off go build -o "$root/target/review-rig" .
