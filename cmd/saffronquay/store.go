package main

import (
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"saffronquay/internal/storage/recordlog"
	"saffronquay/internal/storage/recordlog/form"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// storeCommand returns the parent of the commands that inspect a durable store.
func (c *cli) storeCommand() *cobra.Command {
	parent := &cobra.Command{Use: "store", Short: "Inspect a durable store, read-only", Example: "  saffronquay store check /var/lib/saffronquay/a /var/lib/saffronquay/b"}
	parent.AddCommand(&cobra.Command{
		Use: "check DIR [COPY]", Short: "Read both copies completely; exits with 1 if records are damaged or lost", Args: cobra.RangeArgs(1, 2),
		Example: "  saffronquay store check /var/lib/saffronquay/a /var/lib/saffronquay/b",
		RunE:    func(_ *cobra.Command, args []string) error { return c.runStoreCheck(args) },
	}, &cobra.Command{
		Use: "dump DIR [COPY]", Short: "Print every readable record, one JSON object per line", Args: cobra.RangeArgs(1, 2),
		Example: "  saffronquay store dump /var/lib/saffronquay/a /var/lib/saffronquay/b | head",
		RunE:    func(_ *cobra.Command, args []string) error { return c.runStoreDump(args) },
	})
	return parent
}

// openStore opens, read-only, the store whose two copies are in the directories in args. The second
// defaults to the subdirectory "copy" of the first.
func openStore(args []string) (*recordlog.ReadOnlyStore, error) {
	second := filepath.Join(args[0], "copy")
	if len(args) == 2 {
		second = args[1]
	}
	store, err := recordlog.OpenReadOnly([2]recordlog.Dir{recordlog.ExistingDir(args[0]), recordlog.ExistingDir(second)})
	if err != nil {
		return nil, unreachable(err)
	}
	return store, nil
}

// runStoreCheck prints the check report of a store. It ends with exitFailed if records are damaged
// or lost.
func (c *cli) runStoreCheck(args []string) error {
	store, err := openStore(args)
	if err != nil {
		return err
	}
	report := store.Check()
	if err := c.print(report, func(w io.Writer) { printStoreCheck(w, report) }); err != nil {
		return err
	}
	if len(report.Damaged)+len(report.LostSpans) > 0 {
		return &exitError{code: exitFailed}
	}
	return nil
}

func printStoreCheck(w io.Writer, r recordlog.CheckReport) {
	for _, record := range r.Damaged {
		fmt.Fprintln(w, "damaged", record)
	}
	for _, span := range r.LostSpans {
		fmt.Fprintf(w, "unknown between records %d and %d\n", span.After, span.Before)
	}
	for _, file := range r.UnreferencedFiles {
		fmt.Fprintln(w, "stray", file)
	}
	fmt.Fprintf(w, "epoch=%d segments=%d bytes=%d records=%d damaged=%d unknown=%d stray=%d took=%s\n", r.Epoch, r.Segments, r.Bytes,
		r.Records, len(r.Damaged), len(r.LostSpans), len(r.UnreferencedFiles), r.Took)
}

// recordKinds maps each kind of record to its name and, if its value is printed, the message type
// of the value.
var recordKinds = map[recordlog.Kind]struct {
	name  string
	value func() proto.Message
}{
	recordlog.AtMostOnce:  {"once", func() proto.Message { return &form.Once{} }},
	recordlog.ServerState: {"learned", func() proto.Message { return &form.Learned{} }},
	recordlog.Layout:      {"layout", func() proto.Message { return &form.Layout{} }},
	recordlog.Cursor:      {"cursor", func() proto.Message { return &form.Cursor{} }},
	recordlog.CursorKey:   {"sealing", nil}, // secret, not printed
	recordlog.Rollout:     {"rollout", nil}, // values have several message types
}

// runStoreDump prints the records of a store. It ends with exitFailed if some cannot be read. It
// stops printing at the first failed write, for example to a closed pipe, which is not an error.
func (c *cli) runStoreDump(args []string) error {
	store, err := openStore(args)
	if err != nil {
		return err
	}
	var writeErr error
	lost := store.Dump(func(r recordlog.Record) {
		if writeErr == nil {
			writeErr = c.printRecord(r)
		}
	})
	for _, span := range lost {
		fmt.Fprintf(c.errs, "unknown between records %d and %d\n", span.After, span.Before)
	}
	if len(lost) > 0 {
		return &exitError{code: exitFailed}
	}
	return nil
}

func (c *cli) printRecord(r recordlog.Record) error {
	key, err := json.Marshal(r.Key)
	if err != nil { // does not happen: any string can be encoded
		key = []byte("null")
	}
	_, err = fmt.Fprintf(c.out, `{"seq":%d,"at":%d,"until":%d,"kind":%q,"key":%s,"gone":%t,"value":%s}`+"\n", r.Seq, r.At, r.ExpiresAt,
		recordKinds[r.Kind].name, key, r.Deleted, formatRecordValue(r))
	return err
}

// formatRecordValue returns a record's value as JSON. It returns null for a deleted record, a kind
// whose value is not printed, and a malformed value.
func formatRecordValue(r recordlog.Record) []byte {
	null := []byte("null")
	kind := recordKinds[r.Kind]
	if kind.value == nil || r.Deleted {
		return null
	}
	message := kind.value()
	if proto.Unmarshal(r.Value, message) != nil {
		return null
	}
	text, err := protojson.Marshal(message)
	if err != nil {
		return null
	}
	return text
}
