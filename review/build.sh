#!/bin/bash
# The stand-ins are plain Python; this only checks that they compile.
exec python3 -m py_compile "$(dirname "$0")/standins.py" "$(dirname "$0")/traffic.py"
