package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/spf13/cobra"
)

// layoutSteps are the steps that advance or abort an announced change. Each is a subcommand.
var layoutSteps = []string{"copy", "ready", "cutover", "retire", "abort"}

// layoutCommand returns the parent of the commands that show and change the layout of ranges.
func (c *cli) layoutCommand() *cobra.Command {
	var directory string
	parent := &cobra.Command{Use: "layout", Short: "Show the layout of ranges, and announce and advance changes of it", Example: "  saffronquay layout show --door 127.0.0.1:9600"}
	parent.PersistentFlags().StringVar(&directory, "directory", "", "host:port of the layout directory (default: from the file)")
	parent.AddCommand(c.layoutShowCommand(), c.layoutAnnounceCommand(&directory))
	for _, step := range layoutSteps {
		parent.AddCommand(c.layoutStepCommand(&directory, step))
	}
	return parent
}

func (c *cli) layoutShowCommand() *cobra.Command {
	return &cobra.Command{
		Use: "show", Short: "Show the state of the layout at a gatherer", Args: cobra.NoArgs, Example: "  saffronquay layout show --file deploy/layout.json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := c.callAdmin(cmd.Context(), "layout")
			if err != nil {
				return err
			}
			return c.print(map[string]any{"lines": strings.Split(strings.TrimSpace(text), "\n")}, plainText(text))
		},
	}
}

// layoutAnnounceCommand returns the command that announces a change to the directory. It takes a
// pointer because a flag sets the address after this call.
func (c *cli) layoutAnnounceCommand(directory *string) *cobra.Command {
	return &cobra.Command{
		Use: "announce FILE", Short: "Announce a change, read from a file or from standard input (-)", Args: cobra.ExactArgs(1),
		Example: "  saffronquay layout announce split.json --directory 127.0.0.1:9700",
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := c.readChange(args[0])
			if err != nil {
				return err
			}
			return c.sendToDirectory(cmd.Context(), *directory, body)
		},
	}
}

// layoutStepCommand returns the command that advances an announced change to a step. It takes a
// pointer because a flag sets the address after this call.
func (c *cli) layoutStepCommand(directory *string, step string) *cobra.Command {
	return &cobra.Command{
		Use: step + " CHANGE", Short: "Apply to an announced change the step " + step, Args: cobra.ExactArgs(1), Example: "  saffronquay layout " + step + " hot --directory 127.0.0.1:9700",
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.sendToDirectory(cmd.Context(), *directory, fmt.Appendf(nil, `{"change":%q,"do":%q}`, args[0], step))
		},
	}
}

// readChange reads a layout change from the file at path, or from standard input if path is "-".
func (c *cli) readChange(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(io.LimitReader(c.in, maxReplyBytes))
	}
	return c.readFile(path, "the change")
}

// sendToDirectory sends a change or a step to the layout directory and prints the response. If
// address is "", it uses the one in the operator's file. A status of 300 or above ends the command
// with exitFailed.
func (c *cli) sendToDirectory(ctx context.Context, address string, body []byte) error {
	if address == "" {
		var err error
		if address, err = c.readDirectoryAddress(); err != nil {
			return err
		}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/layout", bytes.NewReader(body))
	if err != nil {
		return unreachable(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Client{Timeout: c.timeout}).Do(request)
	if err != nil {
		return unreachable(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return unreachable(err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return failed(fmt.Errorf("layout directory rejected the request: %s", strings.TrimSpace(string(text))))
	}
	_, err = c.out.Write(text)
	return err
}

// readDirectoryAddress returns the address of the layout directory that the operator's file names.
func (c *cli) readDirectoryAddress() (string, error) {
	operator, err := c.readOperator("the directory with --directory, or the operator's file with --file")
	if err != nil {
		return "", err
	}
	if operator.Layout == nil || operator.Layout.Directory == "" {
		return "", failed(errors.New("file: layout.directory: missing: no layout directory is configured"))
	}
	return operator.Layout.Directory, nil
}
