package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/broker/config/schema"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/platform"
	"saffronquay/internal/broker/routecheck"
	"saffronquay/internal/broker/server"
	"saffronquay/internal/storage/recordlog"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	sq "saffronquay"
)

// lines of a joined error.
func splitFaults(err error) []string {
	if err == nil {
		return nil
	}
	return strings.Split(err.Error(), "\n")
}

func (c *cli) check() *cobra.Command {
	var printSchema string
	cmd := &cobra.Command{
		Use: "check [FILE]", Short: "Judge an operator's file, or the platform's with --node",
		Long:    "check holds the file against its JSON Schema and against what needs meaning, and tells every fault with its path. --schema operator\nor routing prints the schema itself.",
		Example: "  saffronquay check deploy/layout.json\n  saffronquay check --schema operator > operator.schema.json", Args: cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, words []string) error {
			switch printSchema {
			case "":
			case "operator":
				_, err := c.out.Write(schema.Operator)
				return err
			case "routing":
				_, err := c.out.Write(schema.Routing)
				return err
			default:
				return fmt.Errorf("--schema: want operator or routing, not %q", printSchema)
			}
			path := c.file
			if len(words) == 1 {
				path = words[0]
			}
			var all []string
			if c.node != "" && len(words) == 0 {
				path = c.node
				_, err := c.readNodeConfig()
				var end *exitError
				if errors.As(err, &end) {
					return err
				}
				all = splitFaults(err)
			} else {
				text, err := c.readFile(path, "the operator's file")
				if err != nil {
					return err
				}
				all = operatorFaults(text)
			}
			err := c.print(map[string]any{"file": path, "ok": len(all) == 0, "faults": all}, func(w io.Writer) {
				for _, f := range all {
					fmt.Fprintln(w, f)
				}
				if len(all) == 0 {
					fmt.Fprintln(w, "good:", path)
				}
			})
			if err == nil && len(all) > 0 {
				return &exitError{code: exitFailed}
			}
			return err
		},
	}
	cmd.Flags().StringVar(&printSchema, "schema", "", "print a schema: operator or routing")
	return cmd
}

// judgeOperator gives the faults of an operator's file by the checks that need meaning, and those of its form that they do not name.
func operatorFaults(text []byte) []string {
	_, err := config.ParseOperator(text)
	all := splitFaults(err)
	for _, f := range splitFaults(schema.Judge(schema.Operator, text)) {
		path, _, _ := strings.Cut(f, ": ")
		if !slices.ContainsFunc(all, func(o string) bool { return strings.HasPrefix(o, path) }) {
			all = append(all, f)
		}
	}
	return all
}

// read reads a file that may be written meanwhile.
func (c *cli) readFile(path, what string) ([]byte, error) {
	if path == "" {
		return nil, fmt.Errorf("which file? Name %s", what)
	}
	text, err := config.ReadStable(path, os.ReadFile)
	if err != nil {
		return nil, unreachable(err)
	}
	return text, nil
}

func (c *cli) readNodeConfig() (config.Node, error) {
	text, err := c.readFile(c.node, "the platform's file")
	if err != nil {
		return config.Node{}, err
	}
	return config.Load(func(name string) string {
		return map[string]string{
			"LB_CONFIG": c.node, "LB_NAME": os.Getenv("LB_NAME"), "LB_LISTEN": os.Getenv("LB_LISTEN"),
			"LB_DISCOVERY": os.Getenv("LB_DISCOVERY"),
		}[name]
	}, func(string) ([]byte, error) { return text, nil })
}

// roster is what the files say of who holds what; list, where it is set, is discovery's recorded list.
func (c *cli) loadRoster(path, list string) (r routecheck.Roster, err error) {
	if path == "" && c.node != "" {
		n, err := c.readNodeConfig()
		if err != nil {
			return r, failed(err)
		}
		r = routecheck.Roster{Name: c.node, Settings: n.Settings.Module, Seed: n.Seed, Servers: n.Known, Indices: map[string]routecheck.Index{}}
		ix := routecheck.Index{Class: n.Settings.Module.Classes[0].Name}
		for s := range n.Settings.Module.Shards { // its keys are its shards
			ix.Ranges = append(ix.Ranges, layout.Piece{Shard: s, Span: layout.Span{From: int64(s), To: int64(s) + 1}})
		}
		r.Indices["shards"] = ix
	} else {
		if path == "" {
			path = c.file
		}
		text, err := c.readFile(path, "the operator's file with --file")
		if err != nil {
			return r, err
		}
		op, err := config.ParseOperator(text)
		if err != nil {
			return r, failed(fmt.Errorf("%s: %w", path, err))
		}
		if r, err = operatorRoster(path, op); err != nil {
			return r, failed(err)
		}
	}
	if list != "" {
		text, err := c.readFile(list, "a recorded list")
		if err != nil {
			return r, err
		}
		l, err := platform.ParseList(text)
		if err != nil {
			return r, failed(fmt.Errorf("%s: %w", list, err))
		}
		r.Servers, r.Name = l.Servers, list
	}
	return r, nil
}

// rosterOf is what an operator's file says.
func operatorRoster(name string, op config.Operator) (routecheck.Roster, error) {
	r := routecheck.Roster{Name: name, Settings: op.Settings.Module, Seed: op.Seed, Servers: op.Servers, Indices: map[string]routecheck.Index{}}
	if op.Layout != nil {
		l, err := layout.Make(op.Layout.Document, nil)
		if err != nil {
			return r, fmt.Errorf("%s: layout.whole: %w", name, err)
		}
		r.Layout = l
	}
	for n, ix := range op.Indices {
		to := routecheck.Index{Class: ix.Class, PartWork: ix.PartWork}
		if r.Layout != nil {
			to.Ranges = routecheck.Placed(r.Layout)
		}
		for _, g := range ix.Ranges {
			to.Ranges = append(to.Ranges, layout.Piece{Shard: g.Shard, Span: g.Span})
		}
		slices.SortStableFunc(to.Ranges, func(a, b layout.Piece) int { return int(min(max(a.From-b.From, -1), 1)) })
		r.Indices[n] = to
	}
	return r, nil
}

func (c *cli) test() *cobra.Command {
	var list string
	var compare []string
	cmd := &cobra.Command{
		Use: "test EXPECTATIONS", Short: "Judge where queries would go, without any",
		Long: "test holds a configuration against expectations, by the planner and the module that serve. A file of expectations names what has to\n" +
			"hold, why, and under which losses; docs/ROUTING.md has the kinds.",
		Example: "  saffronquay test deploy/routing.json --file deploy/layout.json\n" +
			"  saffronquay test deploy/routing.json --file proposed.json --compare now=deploy/layout.json\n  saffronquay test shards.json --node config.json --roster recorded-list.json",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, words []string) error {
			text, err := c.readFile(words[0], "the expectations")
			if err != nil {
				return err
			}
			expectations, err := routecheck.Parse(text)
			if err != nil {
				return failed(fmt.Errorf("%s: %w", words[0], err))
			}
			if err := schema.Judge(schema.Routing, text); err != nil {
				return failed(fmt.Errorf("%s: %w", words[0], err))
			}
			r, err := c.loadRoster("", list)
			if err != nil {
				return err
			}
			others := map[string]routecheck.Roster{}
			for _, pair := range compare {
				name, path, ok := strings.Cut(pair, "=")
				if !ok {
					return fmt.Errorf("--compare: want NAME=FILE, not %q", pair)
				}
				if others[name], err = c.loadRoster(path, ""); err != nil {
					return err
				}
			}
			c.progress("judging %d expectations", len(expectations))
			results, err := routecheck.Judge(r, others, expectations)
			c.progress("")
			if err != nil {
				return failed(err)
			}
			return c.tellResults(results)
		},
	}
	cmd.Flags().StringVar(&list, "roster", "", "a recorded list of servers, as discovery gives it, in the place of the file's")
	cmd.Flags().StringArrayVar(&compare, "compare", nil, "NAME=FILE: an operator's file that most_moved compares with")
	return cmd
}

func (c *cli) tellResults(results []routecheck.Result) error {
	broken := 0
	for _, r := range results {
		if !r.OK {
			broken++
		}
	}
	err := c.print(map[string]any{"ok": broken == 0, "expectations": len(results), "broken": broken, "results": results}, func(w io.Writer) {
		for _, r := range results {
			if r.OK {
				fmt.Fprintln(w, "ok  ", r.Name)
				continue
			}
			fmt.Fprintf(w, "FAIL %s (%s)\n", r.Name, r.Reason)
			for _, f := range r.Failures {
				place := f.Roster
				if f.Gone != "" {
					place += ", without " + f.Gone
				}
				if f.Range != "" {
					place += fmt.Sprintf(", range %s held by %v", f.Range, f.Holders)
				}
				fmt.Fprintf(w, "  %s: %s\n", place, f.Why)
			}
			if more := r.Count - len(r.Failures); more > 0 {
				fmt.Fprintf(w, "  and %d more\n", more)
			}
		}
		fmt.Fprintf(w, "%d expectations, %d broken\n", len(results), broken)
	})
	if err == nil && broken > 0 {
		return &exitError{code: exitFailed}
	}
	return err
}

var outcomesByName = map[string]sq.Outcome{"unreachable": sq.Unreachable, "rejected": sq.Rejected, "errored": sq.Errored, "timedout": sq.TimedOut, "broken": sq.Broken}

func (c *cli) explain() *cobra.Command {
	var index, failing, list, learned string
	var key, from, to int64
	cmd := &cobra.Command{
		Use: "explain", Short: "Tell what would become of one query, without sending it",
		Long:    "explain plans one query and tells, for each part, who holds it, what the module would predict and pick, and what it would do next if\neach attempt failed. With --learned it begins with what a gatherer has kept in its store.",
		Example: "  saffronquay explain --file deploy/layout.json --index invoices --key 30500",
		Args:    cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			o, ok := outcomesByName[failing]
			if !ok {
				return fmt.Errorf("--failing: want unreachable, rejected, errored, timedout or broken, not %q", failing)
			}
			want := layout.Span{From: from, To: to}
			if cmd.Flags().Changed("key") {
				want = layout.Span{From: key, To: key + 1}
			} else if want.Empty() {
				return errors.New("which keys? Give --key, or --from and --to")
			}
			r, err := c.loadRoster("", list)
			if err != nil {
				return err
			}
			if learned != "" {
				if r.Learned, err = readLearned(learned); err != nil {
					return unreachable(err)
				}
			}
			parts, err := routecheck.Explain(r, index, []layout.Span{want}, o)
			if err != nil {
				return failed(err)
			}
			return c.print(parts, func(w io.Writer) { printParts(w, parts, failing) })
		},
	}
	f := cmd.Flags()
	f.StringVar(&index, "index", "shards", "the index that is searched")
	f.StringVar(&failing, "failing", "unreachable", "how each attempt fails: unreachable, rejected, errored, timedout or broken")
	f.Int64Var(&key, "key", 0, "one key")
	f.Int64Var(&from, "from", 0, "the first key")
	f.Int64Var(&to, "to", 0, "the first key behind the last one")
	f.StringVar(&list, "roster", "", "a recorded list of servers in the place of the file's")
	f.StringVar(&learned, "learned", "", "directory of a durable store: begin with what was learnt")
	return cmd
}

func printParts(w io.Writer, parts []routecheck.Part, failing string) {
	for _, p := range parts {
		fmt.Fprintf(w, "part: shard %d, keys %s, held by %v\n", p.Shard, p.Range, p.Holders)
		for i, s := range p.Steps {
			if i > 0 {
				fmt.Fprintf(w, "  if that is %s:\n", failing)
			}
			fmt.Fprintf(w, "  sent to %s: %s\n", s.Pick, s.Why)
			for _, o := range s.Options {
				note := ""
				if o.Excluded {
					note = ", barred"
				} else if o.WarmingUp {
					note = ", cold"
				}
				fmt.Fprintf(w, "    %s in %s: predicted %.1f ms, %.1f ms for its zone%s\n", o.Server, o.Zone, o.Predicted/1000, o.ZoneCharge/1000, note)
			}
		}
		fmt.Fprintf(w, "  then: %s\n", p.End)
	}
}

// learnedIn is what was learnt, as a store has it.
func readLearned(dir string) (*sq.Learned, error) {
	v, err := recordlog.OpenReadOnly([2]recordlog.Dir{recordlog.ExistingDirectory(dir), recordlog.ExistingDirectory(filepath.Join(dir, "copy"))})
	if err != nil {
		return nil, err
	}
	var last *sq.Learned
	v.Dump(func(r recordlog.Record) {
		if r.Kind == recordlog.Learned && !r.Deleted {
			l := server.Learned(r.Value)
			last = &l
		}
	})
	if last == nil {
		return nil, fmt.Errorf("%s: nothing was learnt", dir)
	}
	return last, nil
}
