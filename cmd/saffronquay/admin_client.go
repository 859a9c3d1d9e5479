package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"saffronquay/internal/broker/config"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

const maxReplyBytes = 16 << 20

// doorAddress is where operators call.
func (c *cli) findAdminAddress() (string, error) {
	switch {
	case c.adminAddress != "":
		return c.adminAddress, nil
	case c.node != "":
		n, err := c.readNodeConfig()
		if err != nil {
			return "", err
		}
		c.adminAddress = n.Operator
	default:
		text, err := c.readFile(c.file, "the gatherer's door with --door, or its file with --file")
		if err != nil {
			return "", err
		}
		op, err := config.ParseOperator(text)
		if err != nil {
			return "", failed(err)
		}
		c.adminAddress = op.Operator
	}
	if c.adminAddress == "" {
		return "", failed(errors.New("the file sets up no door (operator)"))
	}
	return c.adminAddress, nil
}

// call makes one call at the door.
func (c *cli) callAdmin(words string) (string, error) {
	address, err := c.findAdminAddress()
	if err != nil {
		return "", err
	}
	conn, err := net.DialTimeout("tcp", address, c.timeout)
	if err != nil {
		return "", unreachable(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(c.timeout))
	if _, err := fmt.Fprintln(conn, words); err != nil {
		return "", unreachable(err)
	}
	b, err := io.ReadAll(io.LimitReader(conn, maxReplyBytes))
	if err != nil {
		return "", unreachable(fmt.Errorf("the door at %s: %w", address, err))
	}
	text := string(b)
	if no, is := strings.CutPrefix(text, "NO "); is {
		return strings.TrimSpace(no), failed(errors.New(strings.TrimSpace(no)))
	}
	if text == "" {
		return "", unreachable(fmt.Errorf("the door at %s closed without a word", address))
	}
	return strings.TrimSuffix(text, "END\n"), nil
}

func (c *cli) doorCommands() []*cobra.Command {
	simple := func(name, words, short string) *cobra.Command {
		return &cobra.Command{
			Use: name, Short: short, Args: cobra.NoArgs, Example: "  saffronquay " + name + " --door 127.0.0.1:9600",
			RunE: func(*cobra.Command, []string) error {
				text, err := c.callAdmin(words)
				if err != nil {
					return err
				}
				return c.print(map[string]any{"ok": true, "word": strings.TrimSpace(strings.TrimPrefix(text, "YES "))}, func(w io.Writer) { io.WriteString(w, text) })
			},
		}
	}
	stats := &cobra.Command{
		Use: "stats", Short: "Print the figures", Args: cobra.NoArgs, Example: "  saffronquay stats --door 127.0.0.1:9600 -o json",
		RunE: func(*cobra.Command, []string) error {
			text, err := c.callAdmin("stats")
			if err != nil {
				return err
			}
			return c.print(parseStats(text), func(w io.Writer) { io.WriteString(w, text) })
		},
	}
	return []*cobra.Command{
		simple("status", "status", "Tell whether a gatherer takes clients; 1 where it does not"), stats,
		simple("standby", "standby", "Have a gatherer drain: no longer ready, idle clients are let go"), simple("active", "active", "Put a gatherer back to work"),
		c.drain(), c.logging(), c.contracts(),
	}
}

// figuresOf reads lines such as svc.relayed:12|c.
func parseStats(text string) map[string]int64 {
	out := map[string]int64{}
	for line := range strings.Lines(text) {
		if name, rest, ok := strings.Cut(strings.TrimSpace(line), ":"); ok {
			number, _, _ := strings.Cut(rest, "|")
			if n, err := strconv.ParseInt(number, 10, 64); err == nil {
				out[name] = n
			}
		}
	}
	return out
}

func (c *cli) drain() *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use: "drain", Short: "Put a gatherer on standby and wait until no request is open", Args: cobra.NoArgs,
		Example: "  saffronquay drain --wait 30s --door 127.0.0.1:9600",
		RunE: func(*cobra.Command, []string) error {
			if _, err := c.callAdmin("standby"); err != nil {
				return err
			}
			began, open := time.Now(), int64(-1)
			for wait > 0 && open != 0 {
				text, err := c.callAdmin("stats")
				if err != nil {
					return err
				}
				open = parseStats(text)["svc.open_requests"]
				if time.Since(began) > time.Second {
					c.progress("%d open after %s", open, time.Since(began).Round(time.Second))
				}
				if open > 0 && time.Since(began) > wait {
					c.progress("")
					return failed(fmt.Errorf("%d requests are still open after %s", open, wait))
				}
				if open > 0 {
					time.Sleep(100 * time.Millisecond)
				}
			}
			c.progress("")
			return c.print(map[string]any{"ok": true, "open": open}, func(w io.Writer) { fmt.Fprintln(w, "drained") })
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 0, "how long to wait for open requests; 0: not at all")
	return cmd
}

func (c *cli) contracts() *cobra.Command {
	return &cobra.Command{
		Use: "contracts", Short: "Tell how each team stands: asked, started, refused and why, work, attempts", Args: cobra.NoArgs,
		Example: "  saffronquay contracts --door 127.0.0.1:9600 -o json",
		RunE: func(*cobra.Command, []string) error {
			text, err := c.callAdmin("contracts")
			if err != nil {
				return err
			}
			teams := []map[string]string{}
			for line := range strings.Lines(text) {
				team := map[string]string{}
				for i, word := range strings.Fields(line) {
					if name, value, ok := strings.Cut(word, "="); ok {
						team[name] = value
					} else if i == 1 {
						team["team"] = word
					}
				}
				teams = append(teams, team)
			}
			return c.print(teams, func(w io.Writer) { io.WriteString(w, text) })
		},
	}
}

func (c *cli) logging() *cobra.Command {
	return &cobra.Command{
		Use: "log LEVEL", Short: "Change what a running gatherer logs: debug, info, warn or error", Args: cobra.ExactArgs(1),
		Example: "  saffronquay log debug --door 127.0.0.1:9600",
		RunE: func(_ *cobra.Command, words []string) error {
			text, err := c.callAdmin("log " + words[0])
			if err != nil {
				return err
			}
			return c.print(map[string]any{"ok": true}, func(w io.Writer) { io.WriteString(w, text) })
		},
	}
}

func (c *cli) layout() *cobra.Command {
	var directory string
	parent := &cobra.Command{Use: "layout", Short: "Show the layout of ranges, and take its changes forward", Example: "  saffronquay layout show --door 127.0.0.1:9600"}
	parent.PersistentFlags().StringVar(&directory, "directory", "", "host:port of the layout directory (default: what the file says)")
	parent.AddCommand(&cobra.Command{
		Use: "show", Short: "Show how the layout stands at a gatherer", Args: cobra.NoArgs, Example: "  saffronquay layout show --file deploy/layout.json",
		RunE: func(*cobra.Command, []string) error {
			text, err := c.callAdmin("layout")
			if err != nil {
				return err
			}
			return c.print(map[string]any{"lines": strings.Split(strings.TrimSpace(text), "\n")}, func(w io.Writer) { io.WriteString(w, text) })
		},
	})
	send := func(body []byte) error {
		if directory == "" {
			text, err := c.readFile(c.file, "the directory with --directory, or the operator's file with --file")
			if err != nil {
				return err
			}
			op, err := config.ParseOperator(text)
			if err != nil {
				return failed(err)
			}
			if op.Layout == nil || op.Layout.Directory == "" {
				return failed(errors.New("the file names no layout directory"))
			}
			directory = op.Layout.Directory
		}
		resp, err := (&http.Client{Timeout: c.timeout}).Post("http://"+directory+"/layout", "application/json", bytes.NewReader(body))
		if err != nil {
			return unreachable(err)
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
		if err != nil {
			return unreachable(err)
		}
		if resp.StatusCode >= 300 {
			return failed(fmt.Errorf("the directory turns it down: %s", strings.TrimSpace(string(text))))
		}
		_, err = c.out.Write(text)
		return err
	}
	parent.AddCommand(&cobra.Command{
		Use: "announce FILE", Short: "Announce a change, from a file or - for standard input", Args: cobra.ExactArgs(1),
		Example: "  saffronquay layout announce split.json --directory 127.0.0.1:9700",
		RunE: func(_ *cobra.Command, words []string) error {
			read := func() ([]byte, error) { return c.readFile(words[0], "the change") }
			if words[0] == "-" {
				read = func() ([]byte, error) { return io.ReadAll(io.LimitReader(c.in, maxReplyBytes)) }
			}
			body, err := read()
			if err != nil {
				return err
			}
			return send(body)
		},
	})
	for _, do := range []string{"copy", "ready", "cutover", "retire", "abort"} {
		parent.AddCommand(&cobra.Command{
			Use: do + " CHANGE", Short: "Take a change to " + do, Args: cobra.ExactArgs(1), Example: "  saffronquay layout " + do + " hot --directory 127.0.0.1:9700",
			RunE: func(_ *cobra.Command, words []string) error {
				return send(fmt.Appendf(nil, `{"change":%q,"do":%q}`, words[0], do))
			},
		})
	}
	return parent
}
