package main

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"saffronquay/internal/scheduler/dayreport"

	"github.com/urfave/cli/v3"
)

// accountCommand returns the command that breaks down the worth of days on the test bench by cause of
// loss (package dayreport).
func accountCommand() *cli.Command {
	return &cli.Command{
		Name: "account", Usage: "break down the worth of days on the test bench by cause of loss, from their reports", ArgsUsage: "REPORT...",
		Flags: []cli.Flag{&cli.IntFlag{Name: "tolerance", Value: 1, Usage: "number of machines with a disk that may fail at the same time"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return errors.New("account: no reports: give the path of at least one report")
			}
			for _, path := range c.Args().Slice() {
				if err := writeBreakdown(c.Root().Writer, path, c.Int("tolerance")); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// writeBreakdown writes the breakdown of one report, with its file name as the title.
func writeBreakdown(out io.Writer, path string, tolerance int) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	report, err := dayreport.Parse(text)
	if err != nil {
		return err
	}
	return report.Write(out, filepath.Base(path), tolerance)
}
