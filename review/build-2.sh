#!/bin/sh
# Checks the stand-ins of the cases 6 to 10. They are in Python and use only the
# packages of the deploy file, which the build of that file has installed.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/standins-2 \
	exec python3 -c "import harness"
