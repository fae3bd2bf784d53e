#!/bin/bash
# Runs a case: run.sh CLASS FOLDER. Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.."
[ -d review/target ] && [ -e platform/target/quetzalseam-platform-0.1.0.jar ] || exit 2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
timeout -k 2 115 java -cp 'review/target:platform/target/lib/*' "$1" "$2" "$work"
status=$?
[ $status -eq 0 ] || [ $status -eq 1 ] || status=2
exit $status
