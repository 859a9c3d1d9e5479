package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"saffronquay/internal/scheduler/featuregate"
	"saffronquay/internal/scheduler/settings"

	"github.com/urfave/cli/v3"
)

// checkCommand returns the command that validates a settings file and reports all its problems.
func checkCommand() *cli.Command {
	return &cli.Command{Name: "check", Usage: "check a settings file", Action: func(_ context.Context, c *cli.Command) error {
		source, err := openSettings(c)
		if err == nil {
			fmt.Fprintf(c.Root().Writer, "%s: settings are valid\n", source.Current().NodeName)
		}
		return err
	}}
}

// openSettings loads the settings file named by the command line or the environment, and applies the
// overrides of the command line.
func openSettings(c *cli.Command) (*settings.Source, error) {
	path := c.String("settings")
	if path == "" {
		return nil, fmt.Errorf("no settings file: set --settings or %s", settings.EnvironmentVariable)
	}
	override, err := featureGateOverride(c)
	if err != nil {
		return nil, err
	}
	return settings.NewSource(path, override)
}

// featureGateOverride returns a function that applies the feature gates of the command line to settings
// after each load. It returns an error if the command line names an unknown policy or feature gate.
func featureGateOverride(c *cli.Command) (settings.Override, error) {
	policy, disabled := featuregate.Policy(c.String("policy")), c.StringSlice("without")
	apply := func(gates *featuregate.Gates) error {
		if policy != "" {
			gates.Policy = policy
		}
		for _, name := range disabled {
			if err := gates.Disable(name); err != nil {
				return err
			}
		}
		return gates.Check()
	}
	override := func(s *settings.Settings) {
		_ = apply(&s.FeatureGates) // the command line was validated below, the policy of the file by settings.Load
	}
	probe := featuregate.All()
	return override, apply(&probe)
}

// newLogger returns the logger of the process, which writes to standard error.
func newLogger(c *cli.Command, s *settings.Settings) (*slog.Logger, error) {
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
		return nil, fmt.Errorf("--log-format: must be text or json, got %q", format)
	}
}
