package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/spf13/cobra"
)

// TestGoldenHelp compares the help of each command with the golden file. With
// SAFFRONQUAY_GOLDEN=write in the environment it rewrites that file.
func TestGoldenHelp(t *testing.T) {
	is := is.New(t)
	t.Setenv("SAFFRONQUAY_OPERATOR_FILE", "")
	t.Setenv("COLUMNS", "")
	var help bytes.Buffer
	root := (&cli{in: strings.NewReader(""), out: &help, errs: &help}).root()
	root.SetOut(&help)
	root.InitDefaultHelpCmd()
	root.InitDefaultVersionFlag()
	writeHelp(t, root, &help)
	path := filepath.Join("testdata", "help.txt")
	if os.Getenv("SAFFRONQUAY_GOLDEN") == "write" {
		is.NoErr(os.WriteFile(path, help.Bytes(), 0o644))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(help.String(), string(want))
}

// writeHelp writes the help of a command and of all its subcommands.
func writeHelp(t *testing.T, command *cobra.Command, help *bytes.Buffer) {
	t.Helper()
	help.WriteString("==== " + command.CommandPath() + "\n")
	is.New(t).NoErr(command.Help())
	for _, below := range command.Commands() {
		writeHelp(t, below, help)
	}
}
