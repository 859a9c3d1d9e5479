package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"
)

// revisionLength is the number of hex digits of a commit hash in the version.
const revisionLength = 12

// version returns the module's version, the commit unless the version contains it, and the Go
// version, as far as the build recorded them.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key != "vcs.revision" {
			continue
		}
		revision := s.Value[:min(revisionLength, len(s.Value))]
		if !strings.Contains(v, revision) {
			v += " " + revision
		}
	}
	return strings.TrimSpace(v + " " + info.GoVersion)
}

// versionCommand returns the command that prints the version.
func (c *cli) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version of this build", Example: "  saffronquay version -o json", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return c.print(map[string]string{"version": version()}, func(w io.Writer) { fmt.Fprintln(w, "saffronquay", version()) })
		},
	}
}

// manCommand returns the command that writes the manual pages.
func (c *cli) manCommand() *cobra.Command {
	return &cobra.Command{
		Use: "man DIR", Short: "Write a manual page for each command to a directory", Example: "  saffronquay man /tmp/man && man /tmp/man/saffronquay-test.1",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return writeManualPages(cmd.Root(), args[0]) },
	}
}

// writeManualPages writes a page for each command to a directory, which it creates if necessary.
func writeManualPages(root *cobra.Command, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return unreachable(err)
	}
	root.DisableAutoGenTag = true
	if err := doc.GenManTree(root, &doc.GenManHeader{Title: "SAFFRONQUAY", Section: "1", Source: "saffronquay"}, dir); err != nil {
		return unreachable(err)
	}
	return nil
}
