#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. What was sent, answered and run is written to record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
record=review/5/record.txt
rm -f "$record"
[ -f target/pollenpath.jar ] && [ -d target/review ] || exit 2
command -v java > /dev/null || exit 2
exec java -Xmx256m -cp target/review:target/pollenpath.jar review.raisedlimit.RaisedLimitCase "$record" "${TROUBLE:-1}"
