#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0: the same request crashes no server.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/review-2/case_crashing_request ] && [ -x target/release/savorybeam ] || exit 2
exec target/review-2/case_crashing_request "$here"
