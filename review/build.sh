#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs of the standard library (Python 3.11), so this only
# compiles them, outside the project, to see that they can run here.
cd "$(dirname "$0")" || exit 1
python=/usr/bin/python3
[ -x "$python" ] || python=python3
exec "$python" -B -c '
import glob, sys
assert sys.version_info >= (3, 11), sys.version
for path in sorted(glob.glob("lib/*.py") + glob.glob("[0-9]/*.py")):
    compile(open(path, encoding="utf-8").read(), path, "exec")
    print("ok", path)
'
