package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// fleetView is what the door tells of the view of the fleet.
type fleetView struct {
	View    map[string]string   `json:"view"`
	Members []map[string]string `json:"members"`
}

// readView reads the door's lines: a kind, then names and values.
func readView(text string) (v fleetView) {
	for line := range strings.Lines(text) {
		kind, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		of := map[string]string{}
		for _, word := range strings.Fields(rest) {
			name, value, _ := strings.Cut(word, "=")
			of[name] = value
		}
		switch kind {
		case "view":
			v.View = of
		case "member":
			v.Members = append(v.Members, of)
		}
	}
	return v
}

func (v fleetView) print(w io.Writer) {
	fmt.Fprintf(w, "alive %s, reckoned with %s, budgets divided by %s; digest %s, unchanged for %s; doubt of itself %s\n", v.View["alive"], v.View["reckon"],
		v.View["divide"], v.View["digest"], formatSince(v.View["changed_ms"]), v.View["ill"])
	for _, x := range []struct{ key, bad, text string }{
		{"alone", "true", "nobody answers at the addresses of join: it goes on trying, and serves"},
		{"twin", "true", "ANOTHER LIVE GATHERER BEARS THIS ONE'S NAME"},
		{"member", "false", "that one started later: this one is no member"},
	} {
		if v.View[x.key] == x.bad {
			fmt.Fprintln(w, x.text)
		}
	}
	fmt.Fprintf(w, "%-24s %-10s %10s  %-21s %-10s %s\n", "member", "state", "since", "address", "zone", "notes")
	for _, m := range v.Members {
		var notes []string
		for _, x := range []struct{ key, text string }{{"self", "this one"}, {"draining", "draining"}, {"standby", "standby"}} {
			if m[x.key] == "true" {
				notes = append(notes, x.text)
			}
		}
		if m["by"] != "" {
			notes = append(notes, "accused by "+m["by"])
		}
		if m["policy"] != "0" {
			notes = append(notes, "policy "+m["policy"])
		}
		fmt.Fprintf(w, "%-24s %-10s %10s  %-21s %-10s %s\n", m["name"], m["state"], formatSince(m["since_ms"]), m["address"], m["zone"], strings.Join(notes, ", "))
	}
}

// since words milliseconds.
func formatSince(ms string) string {
	d, err := time.ParseDuration(ms + "ms")
	if err != nil {
		return "?"
	}
	if d > 10*time.Second {
		return d.Round(time.Second).String()
	}
	return d.Round(10 * time.Millisecond).String()
}

func (c *cli) fleet() *cobra.Command {
	var watch bool
	var every time.Duration
	show := func() error {
		text, err := c.callAdmin("fleet")
		if err != nil {
			return err
		}
		v := readView(text)
		return c.print(v, v.print)
	}
	cmd := &cobra.Command{
		Use: "fleet", Short: "Show a gatherer's view of its fleet: members, states, since when, who accuses whom", Args: cobra.NoArgs,
		Long: "Shows how one gatherer sees its fleet. Views are settled where all live gatherers show the same digest.\n" +
			"A member is alive, suspected, dead or left; the dead are reckoned with for a while (reckon_ms), so that no part of a split fleet uses everything.",
		Example: "  saffronquay fleet --door 127.0.0.1:9401\n  saffronquay fleet --watch --door 127.0.0.1:9401",
		RunE: func(*cobra.Command, []string) error {
			if !watch {
				return show()
			}
			if every < 100*time.Millisecond {
				return fmt.Errorf("--every: want 100ms or more")
			}
			ctx, stop := interrupted(0)
			defer stop()
			tick := time.NewTicker(every)
			defer tick.Stop()
			for {
				if err := show(); err != nil {
					return err
				}
				select {
				case <-ctx.Done():
					return nil
				case <-tick.C:
				}
			}
		},
	}
	cmd.Flags().BoolVar(&watch, "watch", false, "again and again, until Ctrl-C")
	cmd.Flags().DurationVar(&every, "every", time.Second, "how often with --watch")
	say := func(words string) error {
		text, err := c.callAdmin(words)
		if err != nil {
			return err
		}
		return c.print(map[string]any{"ok": true}, func(w io.Writer) { io.WriteString(w, text) })
	}
	cmd.AddCommand(&cobra.Command{
		Use: "leave", Short: "Have a gatherer leave its fleet, until it is started again; it goes on serving", Args: cobra.NoArgs,
		Example: "  saffronquay fleet leave --door 127.0.0.1:9401", RunE: func(*cobra.Command, []string) error { return say("fleet leave") },
	},
		&cobra.Command{
			Use: "forget NAME", Short: "Have a dead member taken for one that has left: it is reckoned with no longer", Args: cobra.ExactArgs(1),
			Example: "  saffronquay fleet forget cordoba-7 --door 127.0.0.1:9401", RunE: func(_ *cobra.Command, words []string) error { return say("fleet forget " + words[0]) },
		})
	return cmd
}
