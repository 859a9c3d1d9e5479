// Command saffronquay-system runs the processes of the rollout scheduler: proxy and agent on edge machines, steward on core machines,
// store on storage machines.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"saffronquay/internal/scheduler/agent"
	"saffronquay/internal/scheduler/controlplane"
	"saffronquay/internal/scheduler/featuregate"
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/proxy"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/settings"
	"saffronquay/internal/scheduler/storage"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "saffronquay-system:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "saffronquay-system",
		Usage: "a rollout scheduler for trainers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the settings file (TOML)", Sources: cli.EnvVars(settings.EnvironmentVariable)},
			&cli.StringFlag{Name: "log-level", Value: "warn", Usage: "debug, info, warn or error"},
			&cli.StringFlag{Name: "log-format", Value: "text", Usage: "text or json"},
			&cli.StringFlag{Name: "metrics", Usage: "PORT/PATH where the role tells its figures in Prometheus' text format; empty: nowhere"},
			&cli.StringFlag{Name: "policy", Usage: "how workers are chosen, for measurements; overrules decisions.policy of the settings file"},
			&cli.StringSliceFlag{Name: "without", Usage: "switch a mechanism off, for measurements: " + strings.Join(featuregate.Names(), ", ")},
		},
		Commands: []*cli.Command{
			roleCommand("proxy", "carry the traffic of an edge machine", proxy.Run),
			roleCommand("agent", "link the proxy of an edge machine to the control plane", agent.Run),
			replicaCommand("steward", "serve control on a core machine", controlplane.Run),
			replicaCommand("store", "keep batch jobs on a storage machine", storage.Run),
			modelCommand(),
			accountCommand(),
			checkCommand(),
		},
	}
}

// role runs a process until its context ends.
type role func(context.Context, *settings.Source, *slog.Logger) error

func roleCommand(name, usage string, run role) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Action: action(func(*cli.Command) role { return run })}
}

// replicaRole is a role that holds replicas.
type replicaRole func(context.Context, *settings.Source, replica.Options, *slog.Logger) error

func replicaCommand(name, usage string, run replicaRole) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "snapshot-entries", Usage: "entries from which on a group's log is replaced by a snapshot; 0: the usual"},
			&cli.Int64Flag{Name: "snapshot-bytes", Usage: "bytes from which on a group's log is replaced by a snapshot; 0: the usual"},
		},
		Action: action(func(c *cli.Command) role {
			options := replica.Options{SnapshotEntries: c.Int("snapshot-entries"), SnapshotBytes: c.Int64("snapshot-bytes")}
			return func(ctx context.Context, source *settings.Source, log *slog.Logger) error {
				return run(ctx, source, options, log)
			}
		}),
	}
}

// action runs a role with the settings that the command line names.
func action(chosen func(*cli.Command) role) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		source, err := open(c)
		if err != nil {
			return err
		}
		log, err := logger(c, source.Current())
		if err != nil {
			return err
		}
		limitMemory(source.Current())
		if err := serveMetrics(c, source.Current(), log); err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE) // the settings file is looked at again without a signal
		log.Info("starting", "command", c.Name)
		if log.Enabled(ctx, slog.LevelDebug) {
			go reportMemory(ctx, log)
		}
		return chosen(c)(ctx, source, log)
	}
}

// serveMetrics tells the process's figures, where the command line says so. A port that is taken is no reason not to serve.
func serveMetrics(c *cli.Command, s *settings.Settings, log *slog.Logger) error {
	if c.String("metrics") == "" {
		return nil
	}
	endpoint, err := metrics.ParseEndpoint(c.String("metrics"))
	if err != nil {
		return err
	}
	if err := endpoint.Serve(s.IP); err != nil {
		log.Warn("figures are not told", "error", err)
	}
	return nil
}

func checkCommand() *cli.Command {
	return &cli.Command{Name: "check", Usage: "check a settings file", Action: func(_ context.Context, c *cli.Command) error {
		source, err := open(c)
		if err == nil {
			fmt.Fprintf(c.Root().Writer, "%s: good\n", source.Current().NodeName)
		}
		return err
	}}
}

func open(c *cli.Command) (*settings.Source, error) {
	path := c.String("settings")
	if path == "" {
		return nil, fmt.Errorf("no settings file: set --settings or %s", settings.EnvironmentVariable)
	}
	overrule, err := overrules(c)
	if err != nil {
		return nil, err
	}
	return settings.NewSource(path, overrule)
}

// overrules are the decisions that the command line takes in place of the settings file.
func overrules(c *cli.Command) (settings.Override, error) {
	policy, without := featuregate.Policy(c.String("policy")), c.StringSlice("without")
	apply := func(s *featuregate.Gates) error {
		if policy != "" {
			s.Policy = policy
		}
		for _, name := range without {
			if err := s.Disable(name); err != nil {
				return err
			}
		}
		return s.Check()
	}
	probe := featuregate.All()
	return func(s *settings.Settings) { apply(&s.FeatureGates) }, apply(&probe)
}

func logger(c *cli.Command, s *settings.Settings) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.String("log-level"))); err != nil {
		return nil, fmt.Errorf("--log-level: %w", err)
	}
	options := &slog.HandlerOptions{Level: level}
	switch format := c.String("log-format"); format {
	case "text":
		return slog.New(slog.NewTextHandler(os.Stderr, options)).With("node", s.NodeName), nil
	case "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, options)).With("node", s.NodeName), nil
	default:
		return nil, fmt.Errorf("--log-format: want text or json, not %q", format)
	}
}

// memoryShare is the part of the machine's memory that the runtime tries to stay below.
const memoryShare = 0.7

// storeGarbage is the garbage that a store may hold, in percent of what it keeps: it keeps much, and collecting costs it little.
const storeGarbage = 25

// edgeGarbage is the same for the processes of a gatherer, which are many and hold little.
const edgeGarbage = 40

func limitMemory(s *settings.Settings) {
	switch {
	case slices.Contains(s.Serves, settings.ServesStorage):
		debug.SetGCPercent(storeGarbage)
	case !slices.Contains(s.Serves, settings.ServesControlPlane):
		debug.SetGCPercent(edgeGarbage)
	}
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB<<20)))
	}
}

const reportEach = 2 * time.Second

// reportMemory logs what the runtime holds, until the context ends.
func reportMemory(ctx context.Context, log *slog.Logger) {
	ticker := time.NewTicker(reportEach)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			log.Debug("memory", "heap_mb", m.HeapAlloc>>20, "in_use_mb", m.HeapInuse>>20, "idle_mb", (m.HeapIdle-m.HeapReleased)>>20, "stack_mb", m.StackInuse>>20, "collections", m.NumGC, "goroutines", runtime.NumGoroutine())
			log.Debug("metrics", "text", metrics.Text())
		case <-ctx.Done():
			return
		}
	}
}
