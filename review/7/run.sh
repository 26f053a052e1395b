#!/usr/bin/env bash
# A job is submitted with a field that the page does not define.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves out the disruption. Run review/build-2.sh and the build of the deploy
# file first.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -x "$root/target/lugward" ] || [ ! -x "$root/target/review2/standin2" ]; then
	echo "NOT RUN: target/lugward or target/review2/standin2 is missing"
	exit 2
fi
exec "$root/target/review2/standin2" field "$root" "$here"
