package main

import (
	"context"
	"log/slog"
	"os/signal"
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/settings"
	"syscall"

	"github.com/urfave/cli/v3"
)

// role runs a process of a role until its context is done.
type role func(context.Context, *settings.Source, *slog.Logger) error

// replicaRole is a role with replicas.
type replicaRole func(context.Context, *settings.Source, replica.Options, *slog.Logger) error

// roleCommand returns the command that runs a role.
func roleCommand(name, usage string, run role) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Action: roleAction(func(*cli.Command) role { return run })}
}

// replicaCommand returns the command that runs a role with replicas. Its flags set the log size at
// which a snapshot replaces a group's log; 0 means the default.
func replicaCommand(name, usage string, run replicaRole) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "snapshot-entries", Usage: "log entries of a group after which a snapshot replaces its log; 0: default"},
			&cli.Int64Flag{Name: "snapshot-bytes", Usage: "log bytes of a group after which a snapshot replaces its log; 0: default"},
		},
		Action: roleAction(func(c *cli.Command) role {
			options := replica.Options{SnapshotEntries: c.Int("snapshot-entries"), SnapshotBytes: c.Int64("snapshot-bytes")}
			return func(ctx context.Context, source *settings.Source, log *slog.Logger) error {
				return run(ctx, source, options, log)
			}
		}),
	}
}

// roleAction returns the action that runs a role with the settings, logger and metrics endpoint of the
// command line. SIGTERM and SIGINT cancel the role's context; SIGHUP and SIGPIPE are ignored.
func roleAction(newRole func(*cli.Command) role) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		source, err := openSettings(c)
		if err != nil {
			return err
		}
		log, err := newLogger(c, source.Current())
		if err != nil {
			return err
		}
		limitMemory(source.Current())
		if err := startMetrics(ctx, c, source.Current(), log); err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE) // the settings file is reloaded without a signal
		log.Info("starting", "command", c.Name)
		if log.Enabled(ctx, slog.LevelDebug) {
			go reportMemory(ctx, log)
		}
		return newRole(c)(ctx, source, log)
	}
}

// startMetrics exports the process's metrics if the command line names an endpoint. A malformed
// endpoint is an error. If the port cannot be listened on, it only logs a warning, because the
// process can serve without metrics.
func startMetrics(ctx context.Context, c *cli.Command, s *settings.Settings, log *slog.Logger) error {
	if c.String("metrics") == "" {
		return nil
	}
	endpoint, err := metrics.ParseEndpoint(c.String("metrics"))
	if err != nil {
		return err
	}
	warn := func(err error) { log.Warn("exporting metrics failed", "error", err) }
	if err := endpoint.Start(ctx, s.IP, warn); err != nil {
		warn(err)
	}
	return nil
}
