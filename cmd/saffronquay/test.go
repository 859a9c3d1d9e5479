package main

import (
	"fmt"
	"io"
	"saffronquay/internal/broker/config/schema"
	"saffronquay/internal/broker/routecheck"
	"strings"

	"github.com/spf13/cobra"
)

// testFlags are the flags of the command test.
type testFlags struct {
	list    string   // path of a recorded list of servers, or ""
	compare []string // NAME=FILE
}

// testCommand returns the command that checks a configuration against a file of expectations.
func (c *cli) testCommand() *cobra.Command {
	var flags testFlags
	cmd := &cobra.Command{
		Use: "test EXPECTATIONS", Short: "Check where queries would be routed, without sending any",
		Long: "test checks a configuration against expectations, with the same planner and decision module that serve queries. A file of expectations\n" +
			"states the conditions, their reasons, and the losses under which they must hold; docs/ROUTING.md describes the kinds.",
		Example: "  saffronquay test deploy/routing.json --file deploy/layout.json\n" +
			"  saffronquay test deploy/routing.json --file proposed.json --compare now=deploy/layout.json\n  saffronquay test shards.json --node config.json --roster recorded-list.json",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return c.runTest(args[0], flags) },
	}
	cmd.Flags().StringVar(&flags.list, "roster", "", "path of a recorded list of servers, as discovery returns it, used instead of the file's")
	cmd.Flags().StringArrayVar(&flags.compare, "compare", nil, "NAME=FILE: an operator's file for most_moved to compare with")
	return cmd
}

func (c *cli) runTest(path string, flags testFlags) error {
	expectations, err := c.readExpectations(path)
	if err != nil {
		return err
	}
	roster, err := c.loadRoster("", flags.list)
	if err != nil {
		return err
	}
	others, err := c.loadComparedRosters(flags.compare)
	if err != nil {
		return err
	}
	c.progress("evaluating %d expectations", len(expectations))
	results, err := routecheck.Evaluate(roster, others, expectations)
	c.progress("")
	if err != nil {
		return failed(err)
	}
	return c.printResults(results)
}

// readExpectations reads and validates a file of expectations.
func (c *cli) readExpectations(path string) ([]routecheck.Expectation, error) {
	text, err := c.readFile(path, "the expectations")
	if err != nil {
		return nil, err
	}
	expectations, err := routecheck.Parse(text)
	if err != nil {
		return nil, failed(fmt.Errorf("%s: %w", path, err))
	}
	if err := schema.Validate(schema.Routing, text); err != nil {
		return nil, failed(fmt.Errorf("%s: %w", path, err))
	}
	return expectations, nil
}

// loadComparedRosters loads the rosters of NAME=FILE pairs by name.
func (c *cli) loadComparedRosters(pairs []string) (map[string]routecheck.Roster, error) {
	rosters := map[string]routecheck.Roster{}
	for _, pair := range pairs {
		name, path, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, fmt.Errorf("--compare: invalid value %q: want NAME=FILE", pair)
		}
		roster, err := c.loadRoster(path, "")
		if err != nil {
			return nil, err
		}
		rosters[name] = roster
	}
	return rosters, nil
}

// printResults prints the result of each expectation. It ends with exitFailed if one is not met.
func (c *cli) printResults(results []routecheck.Result) error {
	broken := 0
	for _, result := range results {
		if !result.OK {
			broken++
		}
	}
	err := c.print(map[string]any{"ok": broken == 0, "expectations": len(results), "broken": broken, "results": results}, func(w io.Writer) {
		for _, result := range results {
			printResult(w, result)
		}
		fmt.Fprintf(w, "%d expectations, %d broken\n", len(results), broken)
	})
	if err == nil && broken > 0 {
		return &exitError{code: exitFailed}
	}
	return err
}

func printResult(w io.Writer, result routecheck.Result) {
	if result.OK {
		fmt.Fprintln(w, "ok  ", result.Name)
		return
	}
	fmt.Fprintf(w, "FAIL %s (%s)\n", result.Name, result.Reason)
	for _, failure := range result.Failures {
		place := failure.Roster
		if failure.Gone != "" {
			place += ", without " + failure.Gone
		}
		if failure.Range != "" {
			place += fmt.Sprintf(", range %s held by %v", failure.Range, failure.Holders)
		}
		fmt.Fprintf(w, "  %s: %s\n", place, failure.Why)
	}
	if more := result.Count - len(result.Failures); more > 0 {
		fmt.Fprintf(w, "  and %d more\n", more)
	}
}
