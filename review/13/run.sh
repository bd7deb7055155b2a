#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-3/case-$(basename "$here")
if [ ! -x target/bulrushspring-platformd ] || [ ! -x "$program" ]; then
    echo "run the build of deploy/system.toml and review/build-3.sh first" >&2
    exit 2
fi
exec timeout --signal=KILL 118 "$program" "$here"
