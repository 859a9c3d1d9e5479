#!/usr/bin/env bash
# Runs two builds of both programs beside each other, and the newer one on data that the older one wrote.
#
#   tools/mixed.sh OLD NEW      OLD, NEW: source trees of this repository (a git worktree, say)
#
# Broker: a fleet of OLD's gatherers is restarted into NEW one by one, and a fleet of NEW's into OLD, under load and faults, each on its own
# data directory (`saffronquay campaign --second`): view, policy versions, quotas, queries that must not run twice. NEW checks OLD's files below
# deploy/. Rollout scheduler: tools/mixed/mixed_test.go. Uses loopback only, for about three minutes. Exits with 1 at the first failure.
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
