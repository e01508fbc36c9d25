#!/usr/bin/env bash
# Runs the script of one case: run-case.sh N. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 without the
# disruption. Writes review/N/record.txt; the logs of the hosts are kept in
# KEEP_LOGS if that names a folder.
cd "$(dirname "$0")/.." || exit 2
program=target/review/case-$1
[ -x "$program" ] && [ -x target/bin/cherrydyke-tier ] || {
  echo "not built: the deploy file's build and review/build.sh come first" >&2
  exit 2
}
folder=$(mktemp -d) || exit 2
timeout --kill-after=5 110 "$program" "review/$1/record.txt" "$folder"
result=$?
# The hosts have the folder's name in no argument: end them by their ids, in
# case that the program was stopped before it could.
sed -n 's/.* started as process \([0-9]*\)$/\1/p' "review/$1/record.txt" |
  while read -r process; do
    if [ "$(readlink "/proc/$process/exe")" = "$PWD/target/bin/cherrydyke-tier" ]; then
      kill -KILL "$process"
    fi
  done
if [ -n "${KEEP_LOGS:-}" ]; then cp "$folder"/* "$KEEP_LOGS"/; fi
rm -rf "$folder"
case $result in 0 | 1 | 2) exit "$result" ;; *) exit 2 ;; esac
