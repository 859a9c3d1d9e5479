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
	exitFailed      = 1 // a check failed, or what was asked for could not be done
	exitUsage       = 2 // the command line is wrong
	exitUnreachable = 3 // a file can't be read, or a process can't be reached
	exitPartial     = 4 // done, but not in all regions
)

// exitError ends a command with an exit code other than exitOK. An error of another type ends it with exitUsage.
type exitError struct {
	code int
	err  error // nil: the command has printed the reason already
}

// Error returns the text of the cause, or "" without one.
func (e *exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// unreachable has err end the command with exitUnreachable.
func unreachable(err error) error { return &exitError{exitUnreachable, err} }

// failed has err end the command with exitFailed.
func failed(err error) error { return &exitError{exitFailed, err} }

// cli is what the commands have in common: the streams, and the flags of the root command. It belongs to one command line.
type cli struct {
	in           io.Reader
	out, errs    io.Writer
	output       string        // text or json
	file         string        // path of the operator's file, or ""
	node         string        // path of the platform's file, or ""
	adminAddress string        // of a gatherer's admin endpoint; "" until the flag or a file gives it
	timeout      time.Duration // of one call of an admin endpoint, a voter or a layout directory
}

// execute runs a command line and returns the exit code. It prints the error of a command that has not printed it itself.
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
		fmt.Fprintf(errs, "saffronquay: %v; --help tells more\n", err)
		return exitUsage
	case exit.err != nil:
		fmt.Fprintf(errs, "saffronquay: %v\n", exit.err)
	}
	return exit.code
}

// root returns the root command with all others. Without a command it serves.
func (c *cli) root() *cobra.Command {
	root := &cobra.Command{
		Use: "saffronquay", Short: "A broker for queries whose data is split into shards", Args: cobra.NoArgs,
		Long: "saffronquay takes queries from clients, has their parts served by servers that hold the shards, and gives each query one final\n" +
			"answer. Without a command it serves.\n\nExit codes: 0 good, 1 a check failed, 2 wrong use, 3 what it is about can't be read or reached.",
		Example:       "  saffronquay try\n  saffronquay check deploy/layout.json\n  saffronquay test deploy/routing.json --file deploy/layout.json",
		SilenceErrors: true, SilenceUsage: true, Version: version(),
		RunE: func(*cobra.Command, []string) error { return c.serve() },
	}
	flags := root.PersistentFlags()
	flags.StringVarP(&c.output, "output", "o", "text", "text or json")
	flags.StringVar(&c.file, "file", os.Getenv("SAFFRONQUAY_OPERATOR_FILE"), "the operator's file")
	flags.StringVar(&c.node, "node", "", "the platform's file, in the place of the operator's")
	flags.StringVar(&c.adminAddress, "door", "", "host:port of the operators' door (default: what the file says)")
	flags.DurationVar(&c.timeout, "timeout", 5*time.Second, "how long a door or a directory may take to answer")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if c.output != "text" && c.output != "json" {
			return fmt.Errorf("--output: want text or json, not %q", c.output)
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
