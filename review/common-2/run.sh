# Runs the program of a case. Sourced by its run.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-2/$(basename "$here")
if [ ! -x target/bulrushspring-platformd ] || [ ! -x "$program" ]; then
    echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
exec timeout --signal=KILL 118 "$program" "$here"
