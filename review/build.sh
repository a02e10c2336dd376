#!/bin/sh
# Compiles the stand-ins and cases of this folder against what the build of the deploy file left.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target/classes
find review -name '*.java' > review/target/sources
javac --release 17 -d review/target/classes -cp target/pollenpath.jar @review/target/sources
