#!/bin/sh
# Builds the stand-ins and drivers of cases 6 to 10; they need only Python's own library.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec python3 -m compileall -q "$here/tests"
