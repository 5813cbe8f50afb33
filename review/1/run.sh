#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Writes record.txt in this folder: what was sent, answered and run.
exec python3 "$(dirname "$0")/case.py"
