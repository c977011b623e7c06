#!/bin/sh
# Plays one case: run-case.sh NAME FOLDER. With TROUBLE=0 it leaves the disruption out.
# Needs the build of the deploy file and review/build.sh.
set -u
cd "$(dirname "$0")/.."
if [ ! -x target/wisteriakeel ] || [ ! -x review/bin/harness ]; then
  echo "not built: run the build line of deploy/system.toml and review/build.sh first"
  exit 2
fi
review/bin/harness -case "$1" -binary target/wisteriakeel -record "$2/record.txt"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
