#!/bin/sh
# Exits with 1 where the rule was broken, 0 where it held, 2 where the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/hyssopd ] || exit 2
exec target/review/standin left-caller review/5/record.txt
