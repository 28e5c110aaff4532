#!/bin/sh
# Exits with 1 if DRAIN was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
exec timeout 110 python3 -B case.py
