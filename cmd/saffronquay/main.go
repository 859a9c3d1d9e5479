// Command saffronquay is one gatherer: it takes queries from clients, has their parts served by servers as the
// decision module says, and gives each query its one final answer. This file only joins it with the
// process's signals.
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
)

func main() { os.Exit(execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

// serve serves until SIGTERM.
func (c *cli) serve() error {
	term, hup := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	signal.Notify(hup, syscall.SIGHUP) // unheard it would end the program
	logger, out := newLog(c.errs, "text", slog.LevelInfo)
	if err := serve(logger, out, term, hup); err != nil {
		logging.Error(logger, logging.Exit, "error", err)
		return &exitError{code: exitFailed}
	}
	return nil
}

func serve(logger *slog.Logger, out *logging.Output, term, hup <-chan os.Signal) error {
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
		case <-hup:
			g.Reload()
		case <-term:
			g.Stop()
		case <-g.Done():
			return g.Wait()
		}
	}
}

// newLog is the program's log.
func newLog(w io.Writer, format string, level slog.Level) (*slog.Logger, *logging.Output) {
	o := logging.New(w, format, level)
	return o.Logger(), o
}

// interrupted returns a context that ends with parent, with Ctrl-C or SIGTERM or, with a length above nought, after that time.
func interrupted(parent context.Context, length time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(parent, os.Interrupt, syscall.SIGTERM)
	if length <= 0 {
		return ctx, stop
	}
	timed, cancel := context.WithTimeout(ctx, length)
	return timed, func() { cancel(); stop() }
}
