#!/bin/sh
# The stand-ins of cases 4 to 8 are Python and need no build: this checks that
# they can be read. The program under test is built by the deploy file's command.
set -e
cd "$(dirname "$0")"
for file in rig2/*.py [4-8]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
    "$file"
done
test -x ../target/source/app/sassafrasdyke || {
  echo "build the program first, with the command of deploy/system.toml" >&2
  exit 2
}
