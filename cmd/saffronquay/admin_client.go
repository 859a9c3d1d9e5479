package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// maxReplyBytes bounds what is read of one answer of an admin endpoint or a layout directory, and of standard input.
const maxReplyBytes = 16 << 20

// findAdminAddress returns the address of the gatherer's admin endpoint: that of --door, else what the platform's or operator's file has. It
// reads a file once only.
func (c *cli) findAdminAddress() (string, error) {
	switch {
	case c.adminAddress != "":
		return c.adminAddress, nil
	case c.node != "":
		node, err := c.readNodeConfig()
		if err != nil {
			return "", err
		}
		c.adminAddress = node.Operator
	default:
		operator, err := c.readOperator("the gatherer's door with --door, or its file with --file")
		if err != nil {
			return "", err
		}
		c.adminAddress = operator.Operator
	}
	if c.adminAddress == "" {
		return "", failed(errors.New("the file sets up no door (operator)"))
	}
	return c.adminAddress, nil
}

// callAdmin sends one command line to the gatherer's admin endpoint and returns the answer without its end mark. An answer that begins with NO
// becomes an error with exitFailed; where the endpoint gives none in time, the error has exitUnreachable.
func (c *cli) callAdmin(ctx context.Context, command string) (string, error) {
	address, err := c.findAdminAddress()
	if err != nil {
		return "", err
	}
	dialer := net.Dialer{Timeout: c.timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return "", unreachable(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(c.timeout)); err != nil {
		return "", unreachable(err)
	}
	if _, err := fmt.Fprintln(conn, command); err != nil {
		return "", unreachable(err)
	}
	answer, err := io.ReadAll(io.LimitReader(conn, maxReplyBytes))
	if err != nil {
		return "", unreachable(fmt.Errorf("the door at %s: %w", address, err))
	}
	text := string(answer)
	if refusal, refused := strings.CutPrefix(text, "NO "); refused {
		refusal = strings.TrimSpace(refusal)
		return refusal, failed(errors.New(refusal))
	}
	if text == "" {
		return "", unreachable(fmt.Errorf("the door at %s closed without a word", address))
	}
	return strings.TrimSuffix(text, "END\n"), nil
}

// parseAdminLines parses an answer whose lines are a kind and then name=value pairs, of which a value may be quoted. The kind gets the key "kind".
// The rest of a line from a word without "=" on is left out.
func parseAdminLines(text string) []map[string]string {
	var lines []map[string]string
	for line := range strings.Lines(text) {
		kind, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		values := map[string]string{"kind": kind}
		for rest != "" {
			name, value, ok := strings.Cut(rest, "=")
			if !ok {
				break
			}
			if quoted, err := strconv.QuotedPrefix(value); err == nil {
				values[name], _ = strconv.Unquote(quoted) // it is valid: QuotedPrefix found it
				rest = strings.TrimPrefix(value[len(quoted):], " ")
				continue
			}
			values[name], rest, _ = strings.Cut(value, " ")
		}
		lines = append(lines, values)
	}
	return lines
}
