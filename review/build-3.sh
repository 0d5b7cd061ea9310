#!/bin/sh
# Checks what the scripts of this review need: the build of the deploy file, and stand-ins that parse. They need no build of their own.
set -eu
cd "$(dirname "$0")/.."
test -f target/marigolddrift.cjs
test -f target/marigolddrift-program.cjs
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
    node --check "$file"
done
