#!/bin/sh
# Compiles the stand-ins of the cases from 11 on; they need no library.
cd "$(dirname "$0")" || exit 1
exec python3 -m py_compile rig_three.py parts_three.py memory_three.py \
    troubled_three.py 11/case.py
