package main

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"saffronquay/internal/scheduler/dayreport"

	"github.com/urfave/cli/v3"
)

// accountCommand tells where the worth of played days went.
func accountCommand() *cli.Command {
	return &cli.Command{
		Name: "account", Usage: "tell where the worth of played days went, from their reports", ArgsUsage: "REPORT...",
		Flags: []cli.Flag{&cli.IntFlag{Name: "tolerance", Value: 1, Usage: "machines with a disk that may be lost at once"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return errors.New("account: want the paths of reports")
			}
			for _, path := range c.Args().Slice() {
				text, err := os.ReadFile(path)
				if err != nil {
					return err
				}
				report, err := dayreport.Parse(text)
				if err != nil {
					return err
				}
				if err := report.Write(c.Root().Writer, filepath.Base(path), c.Int("tolerance")); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
