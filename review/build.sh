#!/bin/sh
# The stand-ins of the scripts are Python 3 programs that need nothing but its
# standard library; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py [1-5]/*.py
do
	test ! -e "$file" || python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
