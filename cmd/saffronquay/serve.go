package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/broker/server"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// serveCommand serves, as the program does without a command.
func (c *cli) serveCommand() *cobra.Command {
	return &cobra.Command{
		Use: "serve", Short: "Serve, as without a command", Args: cobra.NoArgs,
		Example: "  SAFFRONQUAY_OPERATOR_FILE=deploy/layout.json saffronquay serve",
		RunE:    func(*cobra.Command, []string) error { return c.serve() },
	}
}

// serve serves until SIGTERM or an interrupt. Its errors are in the log.
func (c *cli) serve() error {
	terminate, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP) // without a receiver it would end the program
	logger, out := newLog(c.errs, "text", slog.LevelInfo)
	if err := serve(logger, out, terminate, reload); err != nil {
		logging.Error(logger, logging.Exit, "error", err)
		return &exitError{code: exitFailed}
	}
	return nil
}

// serve runs one gatherer by the configuration of the environment until that has stopped. A signal on terminate has it drain and stop, one on
// reload read its configuration again.
func serve(logger *slog.Logger, out *logging.Output, terminate, reload <-chan os.Signal) error {
	plan, err := server.LoadPlan(logger)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	g, err := server.Start(plan, logger, out)
	if err != nil {
		return err
	}
	for {
		select {
		case <-reload:
			g.Reload()
		case <-terminate:
			g.Stop()
		case <-g.Done():
			return g.Wait()
		}
	}
}

// newLog returns the program's log, and the output behind it whose format and level can be changed.
func newLog(w io.Writer, format string, level slog.Level) (*slog.Logger, *logging.Output) {
	out := logging.New(w, format, level)
	return out.Logger(), out
}

// interrupted returns a context that ends with parent, with an interrupt or SIGTERM or, with a length above nought, after that time.
func interrupted(parent context.Context, length time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(parent, os.Interrupt, syscall.SIGTERM)
	if length <= 0 {
		return ctx, stop
	}
	timed, cancel := context.WithTimeout(ctx, length)
	return timed, func() { cancel(); stop() }
}
