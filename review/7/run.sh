#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0: only the last version is written.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/review-2/case_large_configuration ] && [ -x target/release/savorybeam ] || exit 2
exec target/review-2/case_large_configuration "$here"
