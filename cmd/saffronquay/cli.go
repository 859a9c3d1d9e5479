package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"
)

// The exit codes of the program.
const (
	exitOK          = 0
	exitFailed      = 1 // a check failed, or the requested operation could not be done
	exitUsage       = 2 // the command line is invalid
	exitUnreachable = 3 // a file cannot be read, or a process cannot be reached
	exitPartial     = 4 // done in some regions only
)

// exitError ends a command with an exit code other than exitOK. An error of any other type ends it
// with exitUsage.
type exitError struct {
	code int
	err  error // nil if the command has printed the reason already
}

// Error returns the text of the cause, or "" if there is none.
func (e *exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// unreachable wraps err in an exitError with exitUnreachable.
func unreachable(err error) error { return &exitError{exitUnreachable, err} }

// failed wraps err in an exitError with exitFailed.
func failed(err error) error { return &exitError{exitFailed, err} }

// cli holds what all commands share: the standard streams and the persistent flags of the root
// command. One value serves one command line.
type cli struct {
	in           io.Reader
	out, errs    io.Writer
	output       string        // text or json
	file         string        // path of the operator's file, or ""
	node         string        // path of the platform's file, or ""
	adminAddress string        // address of a gatherer's admin endpoint; "" until a flag or a file sets it
	timeout      time.Duration // of one call to an admin endpoint, a voter or a layout directory
}

// execute runs a command line and returns its exit code. It prints the error unless the command has
// printed it already.
func execute(args []string, in io.Reader, out, errs io.Writer) int {
	c := &cli{in: in, out: out, errs: errs}
	root := c.root()
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.ExecuteContext(context.Background())
	var exit *exitError
	switch {
	case err == nil:
		return exitOK
	case !errors.As(err, &exit):
		fmt.Fprintf(errs, "saffronquay: %v; see --help\n", err)
		return exitUsage
	case exit.err != nil:
		fmt.Fprintf(errs, "saffronquay: %v\n", exit.err)
	}
	return exit.code
}

// root returns the root command with all subcommands. Without a subcommand it serves.
func (c *cli) root() *cobra.Command {
	root := &cobra.Command{
		Use: "saffronquay", Short: "A broker for queries whose data is split into shards", Args: cobra.NoArgs,
		Long: "saffronquay accepts queries from clients, sends their parts to the servers that hold the shards, and returns one final answer for\n" +
			"each query. Without a command it serves.\n\nExit codes: 0 success, 1 a check or an operation failed, 2 invalid usage, 3 a file can't be read or a process can't be reached.",
		Example:       "  saffronquay try\n  saffronquay check deploy/layout.json\n  saffronquay test deploy/routing.json --file deploy/layout.json",
		SilenceErrors: true, SilenceUsage: true, Version: version(),
		RunE: func(*cobra.Command, []string) error { return c.serve() },
	}
	flags := root.PersistentFlags()
	flags.StringVarP(&c.output, "output", "o", "text", "output format: text or json")
	flags.StringVar(&c.file, "file", os.Getenv("SAFFRONQUAY_OPERATOR_FILE"), "path of the operator's file")
	flags.StringVar(&c.node, "node", "", "path of the platform's file, used instead of the operator's")
	flags.StringVar(&c.adminAddress, "door", "", "host:port of the gatherer's admin endpoint (default: from the file)")
	flags.DurationVar(&c.timeout, "timeout", 5*time.Second, "timeout of one call to an admin endpoint, a voter or a layout directory")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if c.output != "text" && c.output != "json" {
			return fmt.Errorf("--output: invalid format %q: want text or json", c.output)
		}
		return nil
	}
	root.AddCommand(
		c.serveCommand(), c.tryCommand(), c.checkCommand(), c.testCommand(), c.explainCommand(), c.layoutCommand(), c.storeCommand(),
		c.modelCommand(), c.fleetCommand(), c.policyCommand(), c.campaignCommand(), c.scale(), c.versionCommand(), c.manCommand(),
	)
	root.AddCommand(c.adminCommands()...)
	root.InitDefaultCompletionCmd()
	return root
}
