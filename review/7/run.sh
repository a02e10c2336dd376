#!/usr/bin/env bash
# Plays case 7: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/io/pollenpath/review/EndlessLineEndsCase.class ] || exit 2
timeout -k 2 116 java -cp target/review-2:target/pollenpath.jar io.pollenpath.review.EndlessLineEndsCase
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
