#!/usr/bin/env bash
# The ninth part of prompts crashes servers; TROUBLE=0: it crashes none.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; writes record.txt.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
CASE_DIR=$here exec target/review-3/release/review-stand-3 late-part
