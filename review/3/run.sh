#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-3 ] || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
target/review/case-3 "$work" review/3/record.txt
status=$?
tail -n 1 review/3/record.txt
[ "$status" -le 2 ] || status=2
exit "$status"
