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

// storeCommand is the parent of the commands that look at a durable store.
func (c *cli) storeCommand() *cobra.Command {
	parent := &cobra.Command{Use: "store", Short: "Look at a durable store, without touching it", Example: "  saffronquay store check /var/lib/saffronquay/a /var/lib/saffronquay/b"}
	read := func(words []string) (*recordlog.ReadOnlyStore, error) {
		second := filepath.Join(words[0], "copy")
		if len(words) == 2 {
			second = words[1]
		}
		v, err := recordlog.OpenReadOnly([2]recordlog.Dir{recordlog.ExistingDirectory(words[0]), recordlog.ExistingDirectory(second)})
		if err != nil {
			return nil, unreachable(err)
		}
		return v, nil
	}
	parent.AddCommand(&cobra.Command{
		Use: "check DIR [COPY]", Short: "Read every byte of both copies; 1 where something is damaged or lost", Args: cobra.RangeArgs(1, 2),
		Example: "  saffronquay store check /var/lib/saffronquay/a /var/lib/saffronquay/b",
		RunE: func(_ *cobra.Command, words []string) error {
			v, err := read(words)
			if err != nil {
				return err
			}
			r := v.Check()
			if err := c.print(r, func(w io.Writer) { printStoreCheck(w, r) }); err != nil {
				return err
			}
			if len(r.Damaged)+len(r.LostSpans) > 0 {
				return &exitError{code: exitFailed}
			}
			return nil
		},
	},
		&cobra.Command{
			Use: "dump DIR [COPY]", Short: "Print every record that can be read, a JSON object a line", Args: cobra.RangeArgs(1, 2),
			Example: "  saffronquay store dump /var/lib/saffronquay/a /var/lib/saffronquay/b | head",
			RunE: func(_ *cobra.Command, words []string) error {
				v, err := read(words)
				if err != nil {
					return err
				}
				return c.dump(v)
			},
		})
	return parent
}

func printStoreCheck(w io.Writer, r recordlog.CheckReport) {
	for _, d := range r.Damaged {
		fmt.Fprintln(w, "damaged", d)
	}
	for _, u := range r.LostSpans {
		fmt.Fprintf(w, "unknown between records %d and %d\n", u.After, u.Before)
	}
	for _, s := range r.UnreferencedFiles {
		fmt.Fprintln(w, "stray", s)
	}
	fmt.Fprintf(w, "epoch=%d segments=%d bytes=%d records=%d damaged=%d unknown=%d stray=%d took=%s\n", r.Epoch, r.Segments, r.Bytes,
		r.Records, len(r.Damaged), len(r.LostSpans), len(r.UnreferencedFiles), r.Took)
}

var recordKinds = map[recordlog.Kind]struct {
	name  string
	value func() proto.Message
}{
	recordlog.AtMostOnce: {"once", func() proto.Message { return &form.Once{} }},
	recordlog.Learned:    {"learned", func() proto.Message { return &form.Learned{} }},
	recordlog.Layout:     {"layout", func() proto.Message { return &form.Layout{} }},
	recordlog.Cursor:     {"cursor", func() proto.Message { return &form.Cursor{} }},
	recordlog.CursorKey:  {"sealing", nil}, // a secret
	recordlog.Rollout:    {"rollout", nil}, // of several forms
}

func (c *cli) dump(v *recordlog.ReadOnlyStore) error {
	var broken error
	unknown := v.Dump(func(r recordlog.Record) {
		if broken != nil {
			return // nobody reads any more
		}
		k := recordKinds[r.Kind]
		text := []byte("null")
		if k.value != nil && !r.Deleted {
			m := k.value()
			if err := proto.Unmarshal(r.Value, m); err == nil {
				if b, err := protojson.Marshal(m); err == nil {
					text = b
				}
			}
		}
		key, err := json.Marshal(r.Key)
		if err != nil { // a string always has a form
			key = []byte("null")
		}
		_, broken = fmt.Fprintf(c.out, `{"seq":%d,"at":%d,"until":%d,"kind":%q,"key":%s,"gone":%t,"value":%s}`+"\n", r.Seq, r.At, r.ExpiresAt, k.name, key, r.Deleted, text)
	})
	for _, u := range unknown {
		fmt.Fprintf(c.errs, "unknown between records %d and %d\n", u.After, u.Before)
	}
	if len(unknown) > 0 {
		return &exitError{code: exitFailed}
	}
	return nil
}
