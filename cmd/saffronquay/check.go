package main

import (
	"errors"
	"fmt"
	"io"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/broker/config/schema"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// checkCommand judges a file without using it.
func (c *cli) checkCommand() *cobra.Command {
	var schemaName string
	cmd := &cobra.Command{
		Use: "check [FILE]", Short: "Judge an operator's file, or the platform's with --node",
		Long:    "check holds the file against its JSON Schema and against what needs meaning, and tells every fault with its path. --schema operator\nor routing prints the schema itself.",
		Example: "  saffronquay check deploy/layout.json\n  saffronquay check --schema operator > operator.schema.json", Args: cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if schemaName != "" {
				return c.printSchema(schemaName)
			}
			return c.runCheck(args)
		},
	}
	cmd.Flags().StringVar(&schemaName, "schema", "", "print a schema: operator or routing")
	return cmd
}

func (c *cli) printSchema(name string) error {
	schemas := map[string][]byte{"operator": schema.Operator, "routing": schema.Routing}
	text, ok := schemas[name]
	if !ok {
		return fmt.Errorf("--schema: want operator or routing, not %q", name)
	}
	_, err := c.out.Write(text)
	return err
}

// runCheck prints the faults of the file in args, else of the platform's file, else of the operator's. It ends with exitFailed where there is one.
func (c *cli) runCheck(args []string) error {
	path, faults, err := c.checkFile(args)
	if err != nil {
		return err
	}
	err = c.print(map[string]any{"file": path, "ok": len(faults) == 0, "faults": faults}, func(w io.Writer) {
		for _, fault := range faults {
			fmt.Fprintln(w, fault)
		}
		if len(faults) == 0 {
			fmt.Fprintln(w, "good:", path)
		}
	})
	if err == nil && len(faults) > 0 {
		return &exitError{code: exitFailed}
	}
	return err
}

// checkFile returns the path and the faults of the file that the command line names. The error is about a file that can't be read.
func (c *cli) checkFile(args []string) (path string, faults []string, err error) {
	if c.node != "" && len(args) == 0 {
		_, err := c.readNodeConfig()
		if unreadable := (*exitError)(nil); errors.As(err, &unreadable) {
			return c.node, nil, err
		}
		return c.node, splitFaults(err), nil
	}
	path = c.file
	if len(args) == 1 {
		path = args[0]
	}
	text, err := c.readFile(path, "the operator's file")
	if err != nil {
		return path, nil, err
	}
	return path, operatorFaults(text), nil
}

// operatorFaults returns the faults of an operator's file: those that the program's own checks find, and those that only the schema finds.
func operatorFaults(text []byte) []string {
	_, err := config.ParseOperator(text)
	faults := splitFaults(err)
	for _, fault := range splitFaults(schema.Validate(schema.Operator, text)) {
		path, _, _ := strings.Cut(fault, ": ")
		if !slices.ContainsFunc(faults, func(other string) bool { return strings.HasPrefix(other, path) }) {
			faults = append(faults, fault)
		}
	}
	return faults
}

// splitFaults returns the lines of a joined error, and nothing for nil.
func splitFaults(err error) []string {
	if err == nil {
		return nil
	}
	return strings.Split(err.Error(), "\n")
}
