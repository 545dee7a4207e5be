#!/bin/sh
# Runs the experiments against stand-in leaves in separate processes.
# usage: tools/bench.sh PYTHON [OPTION ...]   (options of `amaranthpulley bench`)
set -eu
python=$1
shift
folder=build/bench
mkdir -p "$folder"
pids=
trap 'kill $pids 2>/dev/null || true' EXIT INT TERM

for leaves in 3 30 81 243; do
    PYTHONUNBUFFERED=1 "$python" -m amaranthpulley leaf \
        --shards "$leaves" --count "$leaves" >"$folder/leaves-$leaves.txt" &
    pids="$pids $!"
done
# Each leaf prints one line: 3 + 30 + 81 + 243 = 357.
tries=0
while [ "$(cat "$folder"/leaves-*.txt | wc -l)" -lt 357 ]; do
    tries=$((tries + 1))
    [ "$tries" -lt 300 ] || { echo "the leaves did not start" >&2; exit 1; }
    sleep 0.1
done
revision=${REVISION:-$(git rev-parse --short HEAD 2>/dev/null || echo unknown)}
"$python" -m amaranthpulley bench --leaves "$folder" --out "$folder" \
    --revision "$revision" "$@"
