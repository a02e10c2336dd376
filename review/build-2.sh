#!/usr/bin/env bash
# Compiles the stand-ins and the cases 6 to 10 to target/review-2. Run it after the build of the
# deploy file, which leaves target/pollenpath.jar.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -Xlint:all -Xlint:-processing -proc:none -cp target/pollenpath.jar \
  -d target/review-2 review/common-2/*.java $(find review -path 'review/[0-9]*' -name '*.java' \
  | grep -E '^review/([6-9]|10)/')
