#!/usr/bin/env bash
# Plays the case "kind" after the build of the deploy file and review/build-3.sh.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/jacinthwind ] && [ -x target/review-3/world ] || exit 2
exec target/review-3/world kind "$here"
