#!/bin/sh
# Compiles the stand-ins and cases of this folder against what the build of the deploy file left.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac --release 17 -d target/review -cp target/pollenpath.jar review/common/*.java review/[1-5]/*.java
