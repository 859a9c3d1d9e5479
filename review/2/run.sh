#!/usr/bin/env bash
# Edge machines are stopped in turn: requests that a stopping gatherer takes late are cut when its process ends.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/saffronquay-system ] || [ ! -x target/review-rig ]; then echo "not built" >&2; exit 2; fi
exec target/review-rig -scene late-stop -record review/2/record.txt
