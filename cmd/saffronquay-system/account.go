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

// accountCommand returns the command that breaks down the scores of played days (package dayreport).
func accountCommand() *cli.Command {
	return &cli.Command{
		Name: "account", Usage: "tell where the worth of played days went, from their reports", ArgsUsage: "REPORT...",
		Flags: []cli.Flag{&cli.IntFlag{Name: "tolerance", Value: 1, Usage: "machines with a disk that may be lost at once"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return errors.New("account: want the paths of reports")
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

// writeBreakdown writes the breakdown of one report, titled with the name of its file.
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
