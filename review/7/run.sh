#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2/case-7 ] || [ ! -x target/release/wagtail-node ]; then
    echo "not built: the deploy file's build and review/build-2.sh come first"
    exit 2
fi
exec target/review-2/case-7 review/7
