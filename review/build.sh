#!/bin/sh
# Builds the stand-ins that the scripts of this folder start. They are Python
# of the standard library, with soak/store.py and soak/wire.py of the project.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
python3 - soak/store.py soak/wire.py review/stand_ins.py review/*/case.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
CHECK
