package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"saffronquay/internal/scheduler/settings"
	"testing"

	"github.com/matryer/is"
	"github.com/urfave/cli/v3"
)

// The help of each command equals the golden file. With SAFFRONQUAY_GOLDEN=write in the environment,
// the test writes the golden file first.
func TestGoldenHelp(t *testing.T) {
	is := is.New(t)
	t.Setenv(settings.EnvironmentVariable, "")
	var help bytes.Buffer
	writeHelp(t, command(), nil, &help)
	path := filepath.Join("testdata", "help.txt")
	if os.Getenv("SAFFRONQUAY_GOLDEN") == "write" {
		is.NoErr(os.MkdirAll("testdata", 0o755))
		is.NoErr(os.WriteFile(path, help.Bytes(), 0o644))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(help.String(), string(want))
}

// writeHelp writes the help of a command and of all its subcommands. names is the path of subcommands
// to the command.
func writeHelp(t *testing.T, c *cli.Command, names []string, help *bytes.Buffer) {
	t.Helper()
	fresh := command() // a command that has run must not run again
	fresh.Writer, fresh.ErrWriter = help, help
	words := append([]string{fresh.Name}, names...)
	is.New(t).NoErr(fresh.Run(context.Background(), append(words, "--help")))
	help.WriteString("====\n")
	for _, below := range c.Commands {
		writeHelp(t, below, append(names[:len(names):len(names)], below.Name), help)
	}
}
