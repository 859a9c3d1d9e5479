package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// minWatchInterval is the least interval at which --watch may call the admin endpoint.
const minWatchInterval = 100 * time.Millisecond

// fleetCommand returns the command that shows a gatherer's view of its fleet, with subcommands that
// change it.
func (c *cli) fleetCommand() *cobra.Command {
	var watch bool
	var every time.Duration
	cmd := &cobra.Command{
		Use: "fleet", Short: "Show a gatherer's view of its fleet: members, states, time in each state, who suspects whom", Args: cobra.NoArgs,
		Long: "Shows one gatherer's view of its fleet. The views have converged when all live gatherers show the same digest.\n" +
			"A member is alive, suspected, dead or left. Dead members still count in dividing budgets for reckon_ms, so that no side of a partition uses all.",
		Example: "  saffronquay fleet --door 127.0.0.1:9401\n  saffronquay fleet --watch --door 127.0.0.1:9401",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !watch {
				return c.printFleet(cmd.Context())
			}
			return c.watchFleet(cmd.Context(), every)
		},
	}
	cmd.Flags().BoolVar(&watch, "watch", false, "repeat until Ctrl-C")
	cmd.Flags().DurationVar(&every, "every", time.Second, "interval of --watch")
	cmd.AddCommand(c.fleetLeaveCommand(), c.fleetForgetCommand())
	return cmd
}

func (c *cli) fleetLeaveCommand() *cobra.Command {
	return &cobra.Command{
		Use: "leave", Short: "Make a gatherer leave its fleet until it is restarted; it continues to serve", Args: cobra.NoArgs,
		Example: "  saffronquay fleet leave --door 127.0.0.1:9401",
		RunE:    func(cmd *cobra.Command, _ []string) error { return c.confirmAdmin(cmd.Context(), "fleet leave") },
	}
}

func (c *cli) fleetForgetCommand() *cobra.Command {
	return &cobra.Command{
		Use: "forget NAME", Short: "Mark a dead member as left, so that it no longer counts towards the division of budgets", Args: cobra.ExactArgs(1),
		Example: "  saffronquay fleet forget cordoba-7 --door 127.0.0.1:9401",
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.confirmAdmin(cmd.Context(), "fleet forget "+args[0])
		},
	}
}

func (c *cli) printFleet(ctx context.Context) error {
	text, err := c.callAdmin(ctx, "fleet")
	if err != nil {
		return err
	}
	view := parseFleetView(text)
	return c.print(view, view.print)
}

// watchFleet prints the view periodically until the program is interrupted or a call to the admin
// endpoint fails.
func (c *cli) watchFleet(ctx context.Context, every time.Duration) error {
	if every < minWatchInterval {
		return errors.New("--every: interval too short: want 100ms or more")
	}
	interrupt, stop := interrupted(ctx, 0) // an interrupt does not cancel the current call
	defer stop()
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		if err := c.printFleet(ctx); err != nil {
			return err
		}
		select {
		case <-interrupt.Done():
			return nil
		case <-tick.C:
		}
	}
}

// fleetView is a gatherer's view of its fleet, as returned by the admin endpoint.
type fleetView struct {
	View    map[string]string   `json:"view"`
	Members []map[string]string `json:"members"`
}

// parseFleetView parses the lines of the admin endpoint: a kind, then name=value pairs without
// spaces.
func parseFleetView(text string) fleetView {
	var view fleetView
	for line := range strings.Lines(text) {
		kind, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		values := map[string]string{}
		for _, pair := range strings.Fields(rest) {
			name, value, _ := strings.Cut(pair, "=")
			values[name] = value
		}
		switch kind {
		case "view":
			view.View = values
		case "member":
			view.Members = append(view.Members, values)
		}
	}
	return view
}

// fleetWarnings lists the values of a view that need the operator's attention, and the text printed
// for each.
var fleetWarnings = []struct{ key, value, text string }{
	{"alone", "true", "WARNING: no member reached at any address in join; serving, and still trying to join"},
	{"twin", "true", "WARNING: another live gatherer has the same name"},
	{"member", "false", "WARNING: the gatherer with the same name started later: this one is no member"},
}

func (v fleetView) print(w io.Writer) {
	fmt.Fprintf(w, "alive %s, reckoned with %s, budgets divided by %s; digest %s, unchanged for %s; local health score %s\n", v.View["alive"], v.View["reckon"],
		v.View["divide"], v.View["digest"], formatSince(v.View["changed_ms"]), v.View["ill"])
	for _, warning := range fleetWarnings {
		if v.View[warning.key] == warning.value {
			fmt.Fprintln(w, warning.text)
		}
	}
	fmt.Fprintf(w, "%-24s %-10s %10s  %-21s %-10s %s\n", "member", "state", "since", "address", "zone", "notes")
	for _, member := range v.Members {
		fmt.Fprintf(w, "%-24s %-10s %10s  %-21s %-10s %s\n", member["name"], member["state"], formatSince(member["since_ms"]), member["address"],
			member["zone"], strings.Join(memberNotes(member), ", "))
	}
}

// memberNotes returns the entries of a member's notes column.
func memberNotes(member map[string]string) []string {
	var notes []string
	for _, x := range []struct{ key, text string }{{"self", "this one"}, {"draining", "draining"}, {"standby", "standby"}} {
		if member[x.key] == "true" {
			notes = append(notes, x.text)
		}
	}
	if member["by"] != "" {
		notes = append(notes, "suspected by "+member["by"])
	}
	if member["policy"] != "0" {
		notes = append(notes, "policy "+member["policy"])
	}
	return notes
}

// formatSince formats a number of milliseconds as a rounded duration, or returns "?" if
// milliseconds is not a number.
func formatSince(milliseconds string) string {
	d, err := time.ParseDuration(milliseconds + "ms")
	if err != nil {
		return "?"
	}
	if d > 10*time.Second {
		return d.Round(time.Second).String()
	}
	return d.Round(10 * time.Millisecond).String()
}
