package main

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/routecheck"
	"saffronquay/internal/broker/server"
	"saffronquay/internal/storage/recordlog"

	"github.com/spf13/cobra"

	sq "saffronquay"
)

// outcomesByName maps the values of --failing to outcomes.
var outcomesByName = map[string]sq.Outcome{
	"unreachable": sq.Unreachable, "rejected": sq.Rejected, "errored": sq.Errored, "timedout": sq.TimedOut, "broken": sq.Broken,
}

// explainFlags are the flags of the command explain.
type explainFlags struct {
	index   string
	failing string // a key of outcomesByName
	list    string // path of a recorded list of servers, or ""
	learned string // directory of a durable store, or ""

	key, from, to int64
}

// explainCommand plans one query without sending it.
func (c *cli) explainCommand() *cobra.Command {
	var flags explainFlags
	cmd := &cobra.Command{
		Use: "explain", Short: "Show how one query would be routed, without sending it",
		Long:    "explain plans one query and prints, for each part, its holders, the module's predictions and pick, and the next pick if each attempt\nfailed. With --learned it starts from the statistics that a gatherer has saved in its durable store.",
		Example: "  saffronquay explain --file deploy/layout.json --index invoices --key 30500",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return c.runExplain(flags, cmd.Flags().Changed("key")) },
	}
	f := cmd.Flags()
	f.StringVar(&flags.index, "index", "shards", "index to search")
	f.StringVar(&flags.failing, "failing", "unreachable", "outcome of each attempt: unreachable, rejected, errored, timedout or broken")
	f.Int64Var(&flags.key, "key", 0, "single key to search for")
	f.Int64Var(&flags.from, "from", 0, "first key of the range")
	f.Int64Var(&flags.to, "to", 0, "end of the range, exclusive")
	f.StringVar(&flags.list, "roster", "", "path of a recorded list of servers, used instead of the file's")
	f.StringVar(&flags.learned, "learned", "", "directory of a durable store whose saved statistics are used")
	return cmd
}

// runExplain plans a query for flags.key if hasKey is set, else for the keys in
// [flags.from, flags.to).
func (c *cli) runExplain(flags explainFlags, hasKey bool) error {
	outcome, ok := outcomesByName[flags.failing]
	if !ok {
		return fmt.Errorf("--failing: invalid outcome %q: want unreachable, rejected, errored, timedout or broken", flags.failing)
	}
	span := layout.Span{From: flags.from, To: flags.to}
	if hasKey {
		span = layout.Span{From: flags.key, To: flags.key + 1}
	} else if span.Empty() {
		return errors.New("no keys given: set --key, or --from and --to")
	}
	roster, err := c.loadRoster("", flags.list)
	if err != nil {
		return err
	}
	if flags.learned != "" {
		if roster.Learned, err = readLearned(flags.learned); err != nil {
			return unreachable(err)
		}
	}
	parts, err := routecheck.Explain(roster, flags.index, []layout.Span{span}, outcome)
	if err != nil {
		return failed(err)
	}
	return c.print(parts, func(w io.Writer) { printParts(w, parts, flags.failing) })
}

// printParts prints, for each part, the server of every attempt if each attempt ended with the
// outcome named by failing.
func printParts(w io.Writer, parts []routecheck.Part, failing string) {
	for _, part := range parts {
		fmt.Fprintf(w, "part: shard %d, keys %s, held by %v\n", part.Shard, part.Range, part.Holders)
		for i, step := range part.Steps {
			if i > 0 {
				fmt.Fprintf(w, "  if that is %s:\n", failing)
			}
			fmt.Fprintf(w, "  sent to %s: %s\n", step.Pick, step.Why)
			for _, option := range step.Options {
				note := ""
				if option.Excluded {
					note = ", excluded"
				} else if option.WarmingUp {
					note = ", warming up"
				}
				fmt.Fprintf(w, "    %s in %s: predicted %.1f ms, %.1f ms for its zone%s\n", option.Server, option.Zone,
					option.Predicted/1000, option.ZoneCharge/1000, note)
			}
		}
		fmt.Fprintf(w, "  then: %s\n", part.End)
	}
}

// readLearned returns the statistics in the last such record of a gatherer's durable store. It
// opens the store read-only.
func readLearned(dir string) (*sq.Snapshot, error) {
	store, err := recordlog.OpenReadOnly([2]recordlog.Dir{recordlog.ExistingDir(dir), recordlog.ExistingDir(filepath.Join(dir, "copy"))})
	if err != nil {
		return nil, err
	}
	var last *sq.Snapshot
	store.Dump(func(r recordlog.Record) {
		if r.Kind == recordlog.ServerState && !r.Deleted {
			learned := server.ParseStatistics(r.Value)
			last = &learned
		}
	})
	if last == nil {
		return nil, fmt.Errorf("store %s: no record of learned statistics", dir)
	}
	return last, nil
}
