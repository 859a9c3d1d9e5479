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

// maxReplyBytes bounds how much is read of one response of an admin endpoint or a layout directory,
// and of standard input.
const maxReplyBytes = 16 << 20

// findAdminAddress returns the address of the gatherer's admin endpoint: the value of --door if
// set, else the address in the platform's or the operator's file. The file is read at most once.
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
		operator, err := c.readOperator("the admin endpoint with --door, or the operator's file with --file")
		if err != nil {
			return "", err
		}
		c.adminAddress = operator.Operator
	}
	if c.adminAddress == "" {
		return "", failed(errors.New("file: operator: missing: no admin endpoint is configured"))
	}
	return c.adminAddress, nil
}

// callAdmin sends one command line to the gatherer's admin endpoint and returns the response
// without its END line. A response that begins with NO becomes an error with exitFailed. Without a
// response within the timeout the error has exitUnreachable.
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
		return "", unreachable(fmt.Errorf("read response of admin endpoint %s: %w", address, err))
	}
	text := string(answer)
	if refusal, refused := strings.CutPrefix(text, "NO "); refused {
		refusal = strings.TrimSpace(refusal)
		return refusal, failed(errors.New(refusal))
	}
	if text == "" {
		return "", unreachable(fmt.Errorf("admin endpoint %s closed the connection without a response", address))
	}
	return strings.TrimSuffix(text, "END\n"), nil
}

// parseAdminLines parses a response in which each line is a kind followed by name=value pairs,
// whose values may be quoted. The kind is stored under the key "kind". A line is parsed up to the
// first field without "=".
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
				values[name], _ = strconv.Unquote(quoted) // always valid: QuotedPrefix accepted it
				rest = strings.TrimPrefix(value[len(quoted):], " ")
				continue
			}
			values[name], rest, _ = strings.Cut(value, " ")
		}
		lines = append(lines, values)
	}
	return lines
}
