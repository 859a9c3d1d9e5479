#!/usr/bin/env bash
# Tests mixed-version operation: runs two builds of both programs in one deployment, and the newer build on data
# that the older one wrote.
#
#   tools/mixed.sh OLD NEW      OLD, NEW: source trees of this repository, for example git worktrees
#
# Broker: a fleet of OLD is restarted into NEW one process at a time, and a fleet of NEW into OLD, under load and
# faults, each process on its own data directory (`saffronquay campaign --second`). This checks membership views,
# policy versions, quotas and at-most-once queries. NEW also validates OLD's configuration files in deploy/.
# Rollout scheduler: see tools/mixed/mixed_test.go. Uses only loopback, takes about three minutes, and exits with
# status 1 at the first failure.
set -euo pipefail
if [ $# != 2 ]; then echo "usage: tools/mixed.sh OLD NEW" >&2; exit 2; fi
old=$(cd "$1" && pwd)
new=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for build in old new; do
  mkdir -p "$work/$build"
  (cd "${!build}" && go build -o "$work/$build/" ./cmd/saffronquay ./cmd/saffronquay-system)
done
if cmp -s "$work/old/saffronquay-system" "$work/new/saffronquay-system"; then echo "note: both builds of saffronquay-system are the same file"; fi

echo "== files of OLD, checked by NEW"
for file in "$old"/deploy/{durable,fleet,layout,opensearch,regions,rollout}.json; do
  "$work/new/saffronquay" check "$file"
done

echo "== rollout scheduler: data of OLD, then both builds in one deployment"
MIXED_OLD=$work/old/saffronquay-system MIXED_NEW=$work/new/saffronquay-system go test -tags mixed -count=1 -timeout 5m -v ./tools/mixed

campaign() { # LABEL FIRST SECOND
  echo "== broker: $1"
  (cd "$work" && "$2" campaign --second "$3" --processes 6 --voters 3 --length 40s --faults 12 --seed 7 --dir "$work/campaign") >"$work/campaign.txt" 2>&1 ||
    { tail -n 30 "$work/campaign.txt"; echo "campaign failed: $1" >&2; exit 1; }
  tail -n 1 "$work/campaign.txt"
}
campaign "OLD's fleet restarted into NEW" "$work/old/saffronquay" "$work/new/saffronquay"
campaign "NEW's fleet restarted into OLD" "$work/new/saffronquay" "$work/old/saffronquay"
echo "== mixed: ok"
