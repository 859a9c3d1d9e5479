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

// serveCommand runs a gatherer, as the program does without a command.
func (c *cli) serveCommand() *cobra.Command {
	return &cobra.Command{
		Use: "serve", Short: "Run a gatherer (default command)", Args: cobra.NoArgs,
		Example: "  SAFFRONQUAY_OPERATOR_FILE=deploy/layout.json saffronquay serve",
		RunE:    func(*cobra.Command, []string) error { return c.serve() },
	}
}

// serve runs a gatherer until SIGTERM or an interrupt. It logs its errors.
func (c *cli) serve() error {
	terminate, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP) // SIGHUP terminates a process that does not handle it
	logger, out := newLog(c.errs, "text", slog.LevelInfo)
	if err := serve(logger, out, terminate, reload); err != nil {
		logging.Error(logger, logging.Exit, "error", err)
		return &exitError{code: exitFailed}
	}
	return nil
}

// serve runs one gatherer, configured by the environment, until it has stopped. A signal on
// terminate makes it drain and stop; one on reload makes it read its configuration again.
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

// newLog returns the program's logger and its output, whose format and level can be changed at run
// time.
func newLog(w io.Writer, format string, level slog.Level) (*slog.Logger, *logging.Output) {
	out := logging.New(w, format, level)
	return out.Logger(), out
}

// interrupted returns a context that is canceled when parent is, on an interrupt or SIGTERM, and,
// if length is positive, after that time.
func interrupted(parent context.Context, length time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(parent, os.Interrupt, syscall.SIGTERM)
	if length <= 0 {
		return ctx, stop
	}
	timed, cancel := context.WithTimeout(ctx, length)
	return timed, func() { cancel(); stop() }
}
