#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d review/target/classes ] || exit 2
exec java -Xmx800m -cp review/target/classes:target/pollenpath.jar review.trials.ManyLargeBodies
