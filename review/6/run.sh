#!/usr/bin/env bash
# Plays the scene reward of review/_rig2. Exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec bin/review-2 reward review/6/record.txt
