#!/bin/sh
# Builds the stand-ins of the cases. They are Python of the standard library
# only, so this checks that they compile and load; the nodes come from the build
# of the deploy file.
cd "$(dirname "$0")" || exit 2
python3 - <<'EOF'
import importlib
import pathlib

for path in sorted(pathlib.Path(".").glob("**/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
for name in ("http", "store", "worker", "gangs", "deployment"):
    importlib.import_module(f"standins.{name}")
EOF
