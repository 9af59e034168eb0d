#!/usr/bin/env bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/leadproxy ] && [ -x target/review/standins-2 ] || { echo "build first: deploy/service.toml, then review/build-2.sh" >&2; exit 2; }
exec target/review/standins-2 reservation "$here/record.txt"
