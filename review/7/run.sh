#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && sh review/build-2.sh || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/standins-2
exec python3 review/7/case.py
