package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

const (
	// drainInterval is the polling interval for the open requests of a draining gatherer.
	drainInterval = 100 * time.Millisecond
	// progressAfter is how long a wait lasts before its progress is shown.
	progressAfter = time.Second
)

// adminCommands returns the top-level commands that call a running gatherer's admin endpoint.
func (c *cli) adminCommands() []*cobra.Command {
	return []*cobra.Command{
		c.simpleAdminCommand("status", "Show whether a gatherer accepts clients; exits with 1 if it does not"),
		c.simpleAdminCommand("standby", "Drain a gatherer: it is no longer ready and closes idle client connections"),
		c.simpleAdminCommand("active", "Return a gatherer to service after standby"),
		c.statsCommand(), c.drainCommand(), c.logLevelCommand(), c.contractsCommand(),
	}
}

// simpleAdminCommand returns a command that sends its own name to the admin endpoint and prints the
// response.
func (c *cli) simpleAdminCommand(name, short string) *cobra.Command {
	return &cobra.Command{
		Use: name, Short: short, Args: cobra.NoArgs, Example: "  saffronquay " + name + " --door 127.0.0.1:9600",
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := c.callAdmin(cmd.Context(), name)
			if err != nil {
				return err
			}
			return c.print(map[string]any{"ok": true, "word": strings.TrimSpace(strings.TrimPrefix(text, "YES "))}, plainText(text))
		},
	}
}

func (c *cli) statsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "stats", Short: "Print a gatherer's metrics", Args: cobra.NoArgs, Example: "  saffronquay stats --door 127.0.0.1:9600 -o json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := c.callAdmin(cmd.Context(), "stats")
			if err != nil {
				return err
			}
			return c.print(parseStats(text), plainText(text))
		},
	}
}

// parseStats parses metrics, one per line in the form svc.relayed:12|c. It skips malformed lines.
func parseStats(text string) map[string]int64 {
	stats := map[string]int64{}
	for line := range strings.Lines(text) {
		if name, rest, ok := strings.Cut(strings.TrimSpace(line), ":"); ok {
			number, _, _ := strings.Cut(rest, "|")
			if n, err := strconv.ParseInt(number, 10, 64); err == nil {
				stats[name] = n
			}
		}
	}
	return stats
}

func (c *cli) drainCommand() *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use: "drain", Short: "Put a gatherer on standby and wait until no request is open", Args: cobra.NoArgs,
		Example: "  saffronquay drain --wait 30s --door 127.0.0.1:9600",
		RunE:    func(cmd *cobra.Command, _ []string) error { return c.runDrain(cmd.Context(), wait) },
	}
	cmd.Flags().DurationVar(&wait, "wait", 0, "how long to wait for open requests; 0: don't wait")
	return cmd
}

// runDrain puts the gatherer on standby. If wait is positive, it then waits until no request is
// open, and ends with exitFailed if some still are after that time. Otherwise it reports -1 open
// requests.
func (c *cli) runDrain(ctx context.Context, wait time.Duration) error {
	if _, err := c.callAdmin(ctx, "standby"); err != nil {
		return err
	}
	began, open := time.Now(), int64(-1)
	for wait > 0 && open != 0 {
		text, err := c.callAdmin(ctx, "stats")
		if err != nil {
			return err
		}
		open = parseStats(text)["svc.open_requests"]
		if time.Since(began) > progressAfter {
			c.progress("%d open after %s", open, time.Since(began).Round(time.Second))
		}
		if open > 0 && time.Since(began) > wait {
			c.progress("")
			return failed(fmt.Errorf("%d requests are still open after %s", open, wait))
		}
		if open > 0 {
			time.Sleep(drainInterval)
		}
	}
	c.progress("")
	return c.print(map[string]any{"ok": true, "open": open}, func(w io.Writer) { fmt.Fprintln(w, "drained") })
}

func (c *cli) contractsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "contracts", Short: "Show each team's use of its contract: requested, started, rejected by reason, work, attempts", Args: cobra.NoArgs,
		Example: "  saffronquay contracts --door 127.0.0.1:9600 -o json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := c.callAdmin(cmd.Context(), "contracts")
			if err != nil {
				return err
			}
			return c.print(parseContracts(text), plainText(text))
		},
	}
}

// parseContracts parses the admin endpoint's lines about teams: a kind, the team's name, then
// name=value pairs. The team's name is stored under the key "team".
func parseContracts(text string) []map[string]string {
	teams := []map[string]string{}
	for line := range strings.Lines(text) {
		team := map[string]string{}
		for i, field := range strings.Fields(line) {
			if name, value, ok := strings.Cut(field, "="); ok {
				team[name] = value
			} else if i == 1 {
				team["team"] = field
			}
		}
		teams = append(teams, team)
	}
	return teams
}

func (c *cli) logLevelCommand() *cobra.Command {
	return &cobra.Command{
		Use: "log LEVEL", Short: "Set the log level of a running gatherer: debug, info, warn or error", Args: cobra.ExactArgs(1),
		Example: "  saffronquay log debug --door 127.0.0.1:9600",
		RunE:    func(cmd *cobra.Command, args []string) error { return c.confirmAdmin(cmd.Context(), "log "+args[0]) },
	}
}

// confirmAdmin sends a command line to the admin endpoint and prints the response. JSON output only
// states that the call succeeded.
func (c *cli) confirmAdmin(ctx context.Context, command string) error {
	text, err := c.callAdmin(ctx, command)
	if err != nil {
		return err
	}
	return c.print(map[string]any{"ok": true}, plainText(text))
}
