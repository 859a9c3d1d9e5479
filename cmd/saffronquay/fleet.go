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

// minWatchInterval bounds how often --watch calls the admin endpoint.
const minWatchInterval = 100 * time.Millisecond

// fleetCommand shows a gatherer's view of its fleet, and is the parent of the commands that change it.
func (c *cli) fleetCommand() *cobra.Command {
	var watch bool
	var every time.Duration
	cmd := &cobra.Command{
		Use: "fleet", Short: "Show a gatherer's view of its fleet: members, states, since when, who accuses whom", Args: cobra.NoArgs,
		Long: "Shows how one gatherer sees its fleet. Views are settled where all live gatherers show the same digest.\n" +
			"A member is alive, suspected, dead or left; the dead are reckoned with for a while (reckon_ms), so that no part of a split fleet uses everything.",
		Example: "  saffronquay fleet --door 127.0.0.1:9401\n  saffronquay fleet --watch --door 127.0.0.1:9401",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !watch {
				return c.printFleet(cmd.Context())
			}
			return c.watchFleet(cmd.Context(), every)
		},
	}
	cmd.Flags().BoolVar(&watch, "watch", false, "again and again, until Ctrl-C")
	cmd.Flags().DurationVar(&every, "every", time.Second, "how often with --watch")
	cmd.AddCommand(c.fleetLeaveCommand(), c.fleetForgetCommand())
	return cmd
}

func (c *cli) fleetLeaveCommand() *cobra.Command {
	return &cobra.Command{
		Use: "leave", Short: "Have a gatherer leave its fleet, until it is started again; it goes on serving", Args: cobra.NoArgs,
		Example: "  saffronquay fleet leave --door 127.0.0.1:9401",
		RunE:    func(cmd *cobra.Command, _ []string) error { return c.confirmAdmin(cmd.Context(), "fleet leave") },
	}
}

func (c *cli) fleetForgetCommand() *cobra.Command {
	return &cobra.Command{
		Use: "forget NAME", Short: "Have a dead member taken for one that has left: it is reckoned with no longer", Args: cobra.ExactArgs(1),
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

// watchFleet prints the view again and again until the program is interrupted or the admin endpoint fails.
func (c *cli) watchFleet(ctx context.Context, every time.Duration) error {
	if every < minWatchInterval {
		return errors.New("--every: want 100ms or more")
	}
	interrupt, stop := interrupted(ctx, 0) // an interrupt lets the call under way end
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

// fleetView is a gatherer's view of its fleet, as the admin endpoint describes it.
type fleetView struct {
	View    map[string]string   `json:"view"`
	Members []map[string]string `json:"members"`
}

// parseFleetView parses the lines of the admin endpoint: a kind, then name=value pairs without spaces.
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

// fleetWarnings are the texts for values of a view that need the operator's attention.
var fleetWarnings = []struct{ key, value, text string }{
	{"alone", "true", "nobody answers at the addresses of join: it goes on trying, and serves"},
	{"twin", "true", "ANOTHER LIVE GATHERER BEARS THIS ONE'S NAME"},
	{"member", "false", "that one started later: this one is no member"},
}

func (v fleetView) print(w io.Writer) {
	fmt.Fprintf(w, "alive %s, reckoned with %s, budgets divided by %s; digest %s, unchanged for %s; doubt of itself %s\n", v.View["alive"], v.View["reckon"],
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

// memberNotes returns what stands in the last column for a member.
func memberNotes(member map[string]string) []string {
	var notes []string
	for _, x := range []struct{ key, text string }{{"self", "this one"}, {"draining", "draining"}, {"standby", "standby"}} {
		if member[x.key] == "true" {
			notes = append(notes, x.text)
		}
	}
	if member["by"] != "" {
		notes = append(notes, "accused by "+member["by"])
	}
	if member["policy"] != "0" {
		notes = append(notes, "policy "+member["policy"])
	}
	return notes
}

// formatSince formats a number of milliseconds as a rounded duration, and as "?" what is no number.
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
