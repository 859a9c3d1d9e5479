// Command saffronquay-system runs the processes of the rollout scheduler: proxy and agent on edge
// machines, steward on core machines, store on storage machines. Further commands check a settings
// file, simulate the control plane in virtual time, and break down the worth of a day on the test
// bench.
//
// The exit code is 0 on success or an orderly shutdown, and 1 after an error, which is written to
// standard error. docs/SCHEDULER.md describes commands, settings, metrics and procedures.
package main

import (
	"context"
	"fmt"
	"os"
	"saffronquay/internal/scheduler/agent"
	"saffronquay/internal/scheduler/controlplane"
	"saffronquay/internal/scheduler/featuregate"
	"saffronquay/internal/scheduler/proxy"
	"saffronquay/internal/scheduler/settings"
	"saffronquay/internal/scheduler/storage"
	"strings"

	"github.com/urfave/cli/v3"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "saffronquay-system:", err)
		os.Exit(1)
	}
}

// command returns the root command. A command must not be run more than once.
func command() *cli.Command {
	return &cli.Command{
		Name:  "saffronquay-system",
		Usage: "a rollout scheduler for trainers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the settings file (TOML)", Sources: cli.EnvVars(settings.EnvironmentVariable)},
			&cli.StringFlag{Name: "log-level", Value: "warn", Usage: "debug, info, warn or error"},
			&cli.StringFlag{Name: "log-format", Value: "text", Usage: "text or json"},
			&cli.StringFlag{Name: "metrics", Usage: "PORT/PATH at which the role exports metrics in the Prometheus text format; empty: no export"},
			&cli.StringFlag{Name: "policy", Usage: "policy for selecting workers, for measurements; overrides decisions.policy of the settings file"},
			&cli.StringSliceFlag{Name: "without", Usage: "disable a mechanism, for measurements: " + strings.Join(featuregate.Names(), ", ")},
		},
		Commands: []*cli.Command{
			roleCommand("proxy", "serve the traffic of an edge machine", proxy.Run),
			roleCommand("agent", "connect the proxy of an edge machine to the control plane", agent.Run),
			replicaCommand("steward", "run the control plane on a core machine", controlplane.Run),
			replicaCommand("store", "store batch jobs on a storage machine", storage.Run),
			modelCommand(),
			accountCommand(),
			checkCommand(),
		},
	}
}
