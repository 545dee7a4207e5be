#!/bin/sh
# Builds the stand-ins that the scripts start; they need only Python's own library.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec python3 -m compileall -q "$here"
