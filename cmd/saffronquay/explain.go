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

// outcomesByName has the values of --failing.
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
		Use: "explain", Short: "Tell what would become of one query, without sending it",
		Long:    "explain plans one query and tells, for each part, who holds it, what the module would predict and pick, and what it would do next if\neach attempt failed. With --learned it begins with what a gatherer has kept in its store.",
		Example: "  saffronquay explain --file deploy/layout.json --index invoices --key 30500",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return c.runExplain(flags, cmd.Flags().Changed("key")) },
	}
	f := cmd.Flags()
	f.StringVar(&flags.index, "index", "shards", "the index that is searched")
	f.StringVar(&flags.failing, "failing", "unreachable", "how each attempt fails: unreachable, rejected, errored, timedout or broken")
	f.Int64Var(&flags.key, "key", 0, "one key")
	f.Int64Var(&flags.from, "from", 0, "the first key")
	f.Int64Var(&flags.to, "to", 0, "the first key behind the last one")
	f.StringVar(&flags.list, "roster", "", "a recorded list of servers in the place of the file's")
	f.StringVar(&flags.learned, "learned", "", "directory of a durable store: begin with what was learnt")
	return cmd
}

// runExplain plans a query for one key where hasKey is set, else for the keys from flags.from to before flags.to.
func (c *cli) runExplain(flags explainFlags, hasKey bool) error {
	outcome, ok := outcomesByName[flags.failing]
	if !ok {
		return fmt.Errorf("--failing: want unreachable, rejected, errored, timedout or broken, not %q", flags.failing)
	}
	span := layout.Span{From: flags.from, To: flags.to}
	if hasKey {
		span = layout.Span{From: flags.key, To: flags.key + 1}
	} else if span.Empty() {
		return errors.New("which keys? Give --key, or --from and --to")
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

// printParts prints where each part would be sent, attempt after attempt, if each failed as failing says.
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
					note = ", barred"
				} else if option.WarmingUp {
					note = ", cold"
				}
				fmt.Fprintf(w, "    %s in %s: predicted %.1f ms, %.1f ms for its zone%s\n", option.Server, option.Zone,
					option.Predicted/1000, option.ZoneCharge/1000, note)
			}
		}
		fmt.Fprintf(w, "  then: %s\n", part.End)
	}
}

// readLearned returns what a gatherer had learnt by the last record of its durable store. The store is only read.
func readLearned(dir string) (*sq.Learned, error) {
	store, err := recordlog.OpenReadOnly([2]recordlog.Dir{recordlog.ExistingDirectory(dir), recordlog.ExistingDirectory(filepath.Join(dir, "copy"))})
	if err != nil {
		return nil, err
	}
	var last *sq.Learned
	store.Dump(func(r recordlog.Record) {
		if r.Kind == recordlog.Learned && !r.Deleted {
			learned := server.Learned(r.Value)
			last = &learned
		}
	})
	if last == nil {
		return nil, fmt.Errorf("%s: nothing was learnt", dir)
	}
	return last, nil
}
