#!/bin/bash
# Builds the stand-ins of the cases 11 and 12. They are Python programs of the standard library alone (review/harness-3) and need
# no build; this checks that they can run.
set -e
cd "$(dirname "$0")/.."
python3 -B - review/harness-3/lab.py review/1[1-5]/case.py <<'END'
import sys
assert sys.version_info >= (3, 11), sys.version
for name in sys.argv[1:]:
    compile(open(name).read(), name, "exec")
END
