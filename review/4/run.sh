#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Writes record.txt here. With TROUBLE=0 it does the same without the disruption.
# Needs the build of the deploy file and review/build-2.sh.
folder=$(dirname "$0")
exec "$folder/../stand_in_2/run" "$folder"
