package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"
	"golang.org/x/term"
)

// The ends of a command, as its exit code.
const (
	exitOK          = 0
	exitFailed      = 1 // a check failed, or what was asked for could not be done
	exitUsage       = 2
	exitUnreachable = 3 // what it is about can't be read or reached
	exitPartial     = 4 // done, but not everywhere
)

// exitError ends a command with an exit code other than exitOK.
type exitError struct {
	code int
	err  error // nil: the command has printed the reason already
}

func (e *exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

func unreachable(err error) error { return &exitError{exitUnreachable, err} }
func failed(err error) error      { return &exitError{exitFailed, err} }

// cli is what the commands share.
type cli struct {
	in           io.Reader
	out, errs    io.Writer
	output       string // text or json
	file         string // the operator's
	node         string // the platform's
	adminAddress string
	timeout      time.Duration // of one call at a door or a directory
}

// execute carries out a command line and returns the exit code.
func execute(words []string, in io.Reader, out, errs io.Writer) int {
	c := &cli{in: in, out: out, errs: errs}
	root := c.root()
	root.SetArgs(words)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.ExecuteContext(context.Background())
	var end *exitError
	switch {
	case err == nil:
		return exitOK
	case !errors.As(err, &end):
		fmt.Fprintf(errs, "saffronquay: %v; --help tells more\n", err)
		return exitUsage
	case end.err != nil:
		fmt.Fprintf(errs, "saffronquay: %v\n", end.err)
	}
	return end.code
}

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
	root.AddCommand(&cobra.Command{
		Use: "serve", Short: "Serve, as without a command", Args: cobra.NoArgs,
		Example: "  SAFFRONQUAY_OPERATOR_FILE=deploy/layout.json saffronquay serve",
		RunE:    func(*cobra.Command, []string) error { return c.serve() },
	},
		c.tryCommand(), c.checkCommand(), c.testCommand(), c.explainCommand(), c.layoutCommand(), c.storeCommand(), c.modelCommand(), c.fleetCommand(),
		c.policyCommand(), c.campaignCommand(), c.scale(), c.versionCommand(), c.manCommand())
	root.AddCommand(c.adminCommands()...)
	root.InitDefaultCompletionCmd()
	return root
}

// version is what the build knows of itself.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && !strings.Contains(v, s.Value[:min(12, len(s.Value))]) {
			v += " " + s.Value[:min(12, len(s.Value))]
		}
	}
	return strings.TrimSpace(v + " " + info.GoVersion)
}

func (c *cli) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Tell which build this is", Example: "  saffronquay version -o json", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return c.print(map[string]string{"version": version()}, func(w io.Writer) { fmt.Fprintln(w, "saffronquay", version()) })
		},
	}
}

// manCommand writes the manual pages.
func (c *cli) manCommand() *cobra.Command {
	return &cobra.Command{
		Use: "man DIR", Short: "Write a manual page for each command into a directory", Example: "  saffronquay man /tmp/man && man /tmp/man/saffronquay-test.1",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, words []string) error {
			if err := os.MkdirAll(words[0], 0o755); err != nil {
				return unreachable(err)
			}
			root := cmd.Root()
			root.DisableAutoGenTag = true
			if err := doc.GenManTree(root, &doc.GenManHeader{Title: "SAFFRONQUAY", Section: "1", Source: "saffronquay"}, words[0]); err != nil {
				return unreachable(err)
			}
			return nil
		},
	}
}

// print writes what a command found: as JSON where a script reads it, else as text in lines no wider than the terminal.
func (c *cli) print(v any, text func(io.Writer)) error {
	if c.output == "json" {
		b, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(c.out, string(b))
		return err
	}
	var b strings.Builder
	text(&b)
	_, err := io.WriteString(c.out, wrap(b.String(), c.width()))
	return err
}

// plainText returns a text form for print that is the text itself.
func plainText(text string) func(io.Writer) {
	return func(w io.Writer) { fmt.Fprint(w, text) }
}

// width is how wide a line may be; 0: there is no terminal, and no bound.
func (c *cli) width() int {
	f, ok := c.out.(*os.File)
	if !ok || !term.IsTerminal(int(f.Fd())) {
		n, err := strconv.Atoi(os.Getenv("COLUMNS"))
		if err != nil || n < 20 {
			return 0
		}
		return n
	}
	n, _, err := term.GetSize(int(f.Fd()))
	if err != nil {
		return 0
	}
	return max(n, 20)
}

// wrap breaks lines that are wider, at spaces where there are any, and indents what goes on.
func wrap(text string, width int) string {
	if width <= 0 {
		return text
	}
	var out strings.Builder
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		indent := ""
		for len(indent)+len(line) > width {
			room := width - len(indent)
			at := strings.LastIndexByte(line[:room+1], ' ')
			if at <= 0 {
				at = room
			}
			out.WriteString(indent + strings.TrimRight(line[:at], " ") + "\n")
			line, indent = strings.TrimLeft(line[at:], " "), "    "
		}
		out.WriteString(indent + line + "\n")
	}
	return out.String()
}

// progress tells on a terminal that something takes long; elsewhere it says nothing.
func (c *cli) progress(format string, args ...any) {
	if f, ok := c.errs.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		fmt.Fprintf(f, "\r\x1b[K"+format, args...)
	}
}
