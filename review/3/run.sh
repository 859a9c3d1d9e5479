#!/usr/bin/env bash
# A client takes a stream up after a cut, and its next worker crashes: the client gets events twice.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/saffronquay-system ] || [ ! -x target/review-rig ]; then echo "not built" >&2; exit 2; fi
exec target/review-rig -scene taken-twice -record review/3/record.txt
