// Command saffronquay-system runs the processes of the rollout scheduler: proxy and agent on edge machines, steward on core machines,
// store on storage machines. Further commands check a settings file, play the control plane in virtual time, and break down the score of a
// played day.
//
// The exit code is 0 where the process ended as asked, and 1 otherwise, with the error on standard error. docs/SCHEDULER.md describes commands,
// settings, metrics and procedures.
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

// command returns the command line. A command that has run must not run again.
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
