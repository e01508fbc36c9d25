#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review
mkdir -p "$out"
for folder in [1-5]; do
  [ -f "$folder/case.cc" ] || continue
  g++ -std=c++17 -O1 -Wall -Wextra -pthread stand_ins/*.cc \
    "$folder/case.cc" -o "$out/case-$folder"
done
