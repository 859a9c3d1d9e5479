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

// checkCommand validates a configuration file.
func (c *cli) checkCommand() *cobra.Command {
	var schemaName string
	cmd := &cobra.Command{
		Use: "check [FILE]", Short: "Validate an operator's file, or the platform's with --node",
		Long:    "check validates the file against its JSON Schema and against the rules that a schema can't express, and prints every fault with its path.\n--schema operator or routing prints the schema itself.",
		Example: "  saffronquay check deploy/layout.json\n  saffronquay check --schema operator > operator.schema.json", Args: cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if schemaName != "" {
				return c.printSchema(schemaName)
			}
			return c.runCheck(args)
		},
	}
	cmd.Flags().StringVar(&schemaName, "schema", "", "schema to print: operator or routing")
	return cmd
}

func (c *cli) printSchema(name string) error {
	schemas := map[string][]byte{"operator": schema.Operator, "routing": schema.Routing}
	text, ok := schemas[name]
	if !ok {
		return fmt.Errorf("--schema: unknown schema %q: want operator or routing", name)
	}
	_, err := c.out.Write(text)
	return err
}

// runCheck prints the faults of the file in args, else of the platform's file, else of the
// operator's. It ends with exitFailed if there are any.
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

// checkFile returns the path and the faults of the file that the command line names. It returns an
// error only if the file cannot be read.
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

// operatorFaults returns the faults of an operator's file: those that the parser finds, and those
// that only the schema finds.
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

// splitFaults returns the lines of a joined error, or nil for a nil error.
func splitFaults(err error) []string {
	if err == nil {
		return nil
	}
	return strings.Split(err.Error(), "\n")
}
