#!/usr/bin/env bash
# Builds the cases of the second review with their stand-ins into
# target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  [ "$number" -ge 6 ] || continue
  "${CXX:-g++}" -std=c++17 -O2 -Wall -Wextra -pthread \
    -o "target/review-2/$number" "$source" review/fleet-2/fleet.cc
done
