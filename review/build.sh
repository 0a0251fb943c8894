#!/bin/sh
# Builds the stand-ins of the scripts: compiles them to byte code, which shows that they can be loaded.
set -e
cd "$(dirname "$0")"
python3 -c 'import ast, pathlib; [ast.parse(it.read_text(), str(it)) for it in pathlib.Path(".").rglob("*.py")]'
