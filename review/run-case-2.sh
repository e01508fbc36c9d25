#!/usr/bin/env bash
# Runs the case of a folder: exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run.
#   review/run-case-2.sh N
cd "$(dirname "$0")/.." || exit 2
[ -x "target/review-2/$1" ] && [ -x target/bin/cherrydyke-tier ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 "target/review-2/$1" "review/$1/record.txt" "$folder"
status=$?
if [ "${KEEP_LOGS:-0}" = 1 ]; then
  rm -rf "target/review-2/logs-$1"
  cp -r "$folder" "target/review-2/logs-$1"
fi
[ "$status" -le 2 ] || status=2
exit "$status"
