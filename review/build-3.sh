#!/bin/sh
# Builds the stand-ins of the third review's scripts: compiles their modules.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-3
python3 - <<'END'
import pathlib
import py_compile

files = ["review/parts3.py", *map(str, pathlib.Path("review").glob("1[1-4]/case.py"))]
for file in files:
    name = file.replace("/", "-") + "c"
    py_compile.compile(file, cfile=f"target/review-3/{name}", doraise=True)
END
