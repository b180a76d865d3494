#!/usr/bin/env bash
# Checks what the scripts of review/11 to review/15 start, after the build of the deploy file. Their stand-ins are
# Python files that need nothing but the standard library (3.11 or later), so that nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")/.."

test -x target/release/wagtail-node || { echo "target/release/wagtail-node is missing: run the build of deploy/system.toml"; exit 1; }
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "python3 3.11 or later is missing"; exit 1; }
PYTHONDONTWRITEBYTECODE=1 python3 - review/common-3/*.py review/1[1-5]/*.py <<'PY'
import sys
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
PY
