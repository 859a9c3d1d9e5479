#!/usr/bin/env bash
# Runs the deterministic simulations and prints "name digest" for each history; the digest is its SHA-256.
#
#   tools/histories.sh                    print the digests of all histories
#   tools/histories.sh record             write them to tools/testdata/histories.txt
#   tools/histories.sh check              run again, compare with that file and print each difference; then run
#                                         TestRecordedHistories of the packages that record digests of output
#                                         that no command prints (rollout over regions, share, layout)
#   tools/histories.sh --quick check      the same with every tenth history
#
# The same seed gives the same history, so a change that is not meant to alter behaviour must not change any
# digest. A history is the output of a command, including errors, and its exit code. Normalized before the digest:
#   - runs of spaces: the text format of protocol buffers deliberately varies them from build to build;
#   - names of Go fields in reports ({Orders:75 ...}, "Asked": 12): renaming a field does not change behaviour,
#     and values keep their order;
#   - the real time that `model fleet` took.
# The texts of traces and errors are part of the digest: a change that rewords them must record the digests
# again and say so.
#
# If LBSIM (path of the program) and LBSIM_SITE (path of a site file) are set, short days of that simulator are
# run as well. They run sequentially, because each writes a journal entry in the worktree; their digest excludes
# processor time and the name of the snapshot. Otherwise these histories are skipped.
#
# All histories are reproducible. A history that is not (for example because a draw depends on the iteration order
# of a Go map) is excluded by unsteadySeeds, or by unsteadyFaults in the form fault/seed, until its cause is fixed.
#
# JOBS is the number of histories to run in parallel; default 4. The digests were recorded on amd64: math.Exp and
# math.Exp2 are written in the assembly of each processor, and round some values of the days differently on others.
set -euo pipefail
cd "$(dirname "$0")/.."
recorded=tools/testdata/histories.txt
jobs=${JOBS:-4}
every=1
unsteadySeeds=""
unsteadyFaults=""
mode=print
for word in "$@"; do
  case $word in
    --quick) every=10 ;;
    check | record | print) mode=$word ;;
    *) echo "usage: tools/histories.sh [--quick] [print|check|record]" >&2; exit 2 ;;
  esac
done
if [ "$mode" = record ] && [ "$every" != 1 ]; then echo "record takes all histories, not --quick" >&2; exit 2; fi

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
export programs=$work/bin
touch "$work/digests"

# list prints the histories of a part, one per line: the name and the command that runs it.
list() {
  local seed fault day kind
  case $1 in
    system)
      for seed in $(seq 200); do
        [[ $unsteadySeeds == *" $seed "* ]] || echo "system/seed-$seed saffronquay-system model --first $seed --seeds 1 --trace"
      done ;;
    system-faults)
      for fault in $(seq 17); do
        for seed in 1 2 30 116; do
          [[ $unsteadyFaults == *" $fault/$seed "* ]] ||
            echo "system/fault-$fault/seed-$seed saffronquay-system model --first $seed --seeds 1 --trace --fault $fault"
        done
      done ;;
    days)
      for day in calm burst zone herd join; do
        for seed in 1 2 3; do echo "days/$day/seed-$seed saffronquay model $day --gatherers 24 --servers 24 --seed $seed -o json"; done
      done ;;
    fleet)
      for seed in $(seq 5); do
        echo "fleet/start/seed-$seed saffronquay model fleet --members 60 --length 10s --seed $seed"
        echo "fleet/cut/seed-$seed saffronquay model fleet --members 60 --loss 0.1 --cut 6s --kill 3 --length 30s --seed $seed"
        echo "fleet/stop/seed-$seed saffronquay model fleet --members 60 --loss 0.02 --stop 4s --kill 1 --length 25s --seed $seed"
        echo "fleet/verdict/seed-$seed saffronquay model fleet --members 40 --kill 2 --length 20s --seed $seed -o json"
      done ;;
    policy)
      for seed in $(seq 40); do
        echo "policy/usual/seed-$seed saffronquay model policy --seed $seed"
        echo "policy/loss/seed-$seed saffronquay model policy --voters 3 --others 12 --loss 0.1 --faults 14 --seed $seed"
      done
      for seed in $(seq 5); do echo "policy/large/seed-$seed saffronquay model policy --others 95 --seed $seed"; done ;;
    lbsim)
      for kind in quiet trouble overload; do
        for seed in 1 2 3 4; do echo "lbsim/$kind/seed-$seed $kind $seed"; done
      done ;;
  esac
}

# played runs a command and prints its output, including errors and the exit code, without the parts that differ
# between two runs of the same history.
played() {
  local code=0
  "$programs/$1" "${@:2}" >"$out" 2>&1 || code=$?
  sed -E -e 's/ +/ /g' -e '/^\{.*\}$/s/\b[A-Z][A-Za-z]*:(-?[0-9])/\1/g' -e 's/"[A-Z][A-Za-z]*": //g' -e 's/ \([0-9.a-zµ]+ of real time\)$//' "$out"
  echo "exit code $code"
}

# digest prints one line: the name of a history and the SHA-256 of its command's output.
digest() {
  local out
  out=$(mktemp "$programs/out.XXXXXX")
  printf '%s %s\n' "$1" "$(played "${@:2}" | sha256sum | cut -d' ' -f1)"
  rm -f "$out"
}
export -f played digest

# simulated prints the digest of one day of the external simulator, without processor time and the name of the
# snapshot.
simulated() {
  local out=$programs/day.json
  "$LBSIM" run "$LBSIM_SITE" --no-build --kind "$2" --seed "$3" --policy-seed "$3" --small-twin --json \
    --why "digest of the history $1, to compare with the recorded one" >"$out" 2>"$programs/lbsim.errors" ||
    { cat "$programs/lbsim.errors" >&2; echo "lbsim failed at $1" >&2; return 1; }
  printf '%s %s\n' "$1" "$(sed -E -e 's/"usage":.*,"wall_ms":[0-9.e+-]+//' -e 's/"snapshot":"[^"]*"//' -e 's/"cpu_late":[^,}]*//' "$out" | sha256sum | cut -d' ' -f1)"
}

# part runs the histories of a part and prints how long that took.
part() {
  local began=$SECONDS name kind seed
  list "$1" | awk -v every="$every" '(NR - 1) % every == 0' >"$work/list"
  if [ "$1" = lbsim ]; then
    if [ -z "${LBSIM:-}" ] || [ -z "${LBSIM_SITE:-}" ]; then
      echo "lbsim: passed over, since LBSIM or LBSIM_SITE is not set" >&2
      return
    fi
    bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)"
    while read -r name kind seed; do simulated "$name" "$kind" "$seed" </dev/null >>"$work/digests"; done <"$work/list"
  else
    xargs -P "$jobs" -L 1 bash -c 'digest "$@"' digest <"$work/list" | sort >>"$work/digests"
  fi
  list "$1" | cut -d' ' -f1 >>"$work/names"
  echo "$1: $(wc -l <"$work/list") histories, $((SECONDS - began)) s" >&2
}

# recordedNow prints the recorded lines to compare with: all of the parts that were run, or with --quick those of
# the histories that were run.
recordedNow() {
  if [ "$every" = 1 ]; then
    if [ -n "${LBSIM:-}" ] && [ -n "${LBSIM_SITE:-}" ]; then cat "$recorded"; else grep -v '^lbsim/' "$recorded"; fi
  else
    awk 'NR == FNR { played[$1]; next } $1 in played' "$work/digests" "$recorded"
  fi
}

# compare prints each history whose digest differs from the recorded one, is missing, or is not recorded.
compare() {
  recordedNow | awk -v now="$work/digests" '
    { want[$1] = $2 }
    END {
      while ((getline line < now) > 0) { split(line, word, " "); got[word[1]] = word[2] }
      for (name in want) if (!(name in got)) { print "not played: " name; bad++ }
        else if (got[name] != want[name]) { print "differs: " name " is " got[name] ", recorded " want[name]; bad++ }
      for (name in got) if (!(name in want)) { print "not recorded: " name; bad++ }
      printf "%d histories compared, %d differ\n", length(got), bad
      exit bad > 0 || length(got) == 0
    }' | sort
}

# packages runs TestRecordedHistories in every package that has one.
packages() {
  local began=$SECONDS code=0 directories
  directories=$(git grep --untracked -l '^func TestRecordedHistories(' -- '*_test.go' | xargs -n 1 dirname | sed 's|^|./|')
  [ -n "$directories" ] || { echo "no package has a TestRecordedHistories" >&2; return 1; }
  # shellcheck disable=SC2086
  go test -count=1 -p "$jobs" -run '^TestRecordedHistories$' $directories || code=$?
  echo "packages: $((SECONDS - began)) s" >&2
  return $code
}

began=$SECONDS
mkdir -p "$programs"
go build -p "$jobs" -o "$programs/" ./cmd/...
echo "build: $((SECONDS - began)) s" >&2
for name in system system-faults days fleet policy lbsim; do part "$name"; done
case $mode in
  print) cat "$work/digests" ;;
  record)
    # Keep the recorded lines of the simulator if it was not run.
    if ! grep -q '^lbsim/' "$work/digests" && [ -f "$recorded" ]; then grep '^lbsim/' "$recorded" >>"$work/digests" || true; fi
    sort -V "$work/digests" >"$recorded" ;;
  check)
    failed=0
    compare || failed=1
    packages || failed=1
    echo "in all: $((SECONDS - began)) s" >&2
    exit $failed ;;
esac
