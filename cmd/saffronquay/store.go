package main

import (
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"saffronquay/internal/store"
	"saffronquay/internal/store/form"
)

const usage = `usage:
  saffronquay                          serve, as the environment says
  saffronquay store check DIR [COPY]   read every byte of both copies; 1 where something is damaged
  saffronquay store dump DIR [COPY]    every record that can be read, a JSON object a line
COPY is DIR/copy where it is not given.
`

// The ends of a command.
const (
	good     = 0
	bad      = 1 // a check failed
	wrongUse = 2
	noReach  = 3 // what it is about can't be read
)

// command carries out what the words behind the program's name say.
func command(words []string, out, errs io.Writer) int {
	if len(words) < 3 || len(words) > 4 || words[0] != "store" {
		fmt.Fprint(errs, usage)
		return wrongUse
	}
	second := filepath.Join(words[2], "copy")
	if len(words) == 4 {
		second = words[3]
	}
	v, err := store.Read([2]store.Dir{store.Existing(words[2]), store.Existing(second)})
	if err != nil {
		fmt.Fprintln(errs, err)
		return noReach
	}
	switch words[1] {
	case "check":
		return check(v, out)
	case "dump":
		return dump(v, out, errs)
	}
	fmt.Fprint(errs, usage)
	return wrongUse
}

func check(v *store.View, out io.Writer) int {
	r := v.Check()
	for _, d := range r.Damaged {
		fmt.Fprintln(out, "damaged", d)
	}
	for _, u := range r.Unknown {
		fmt.Fprintf(out, "unknown between records %d and %d\n", u.After, u.Before)
	}
	for _, s := range r.Stray {
		fmt.Fprintln(out, "stray", s)
	}
	fmt.Fprintf(out, "epoch=%d segments=%d bytes=%d records=%d damaged=%d unknown=%d stray=%d took=%s\n", r.Epoch, r.Segments, r.Bytes,
		r.Records, len(r.Damaged), len(r.Unknown), len(r.Stray), r.Took)
	if len(r.Damaged)+len(r.Unknown) > 0 {
		return bad
	}
	return good
}

var kinds = map[store.Kind]struct {
	name  string
	value func() proto.Message
}{
	store.Once:    {"once", func() proto.Message { return &form.Once{} }},
	store.Learned: {"learned", func() proto.Message { return &form.Learned{} }},
	store.Layout:  {"layout", func() proto.Message { return &form.Layout{} }},
	store.Cursor:  {"cursor", func() proto.Message { return &form.Cursor{} }},
	store.Sealing: {"sealing", nil}, // a secret
}

func dump(v *store.View, out, errs io.Writer) int {
	unknown := v.Dump(func(r store.Record) {
		k := kinds[r.Kind]
		text := []byte("null")
		if k.value != nil && !r.Gone {
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
		fmt.Fprintf(out, `{"seq":%d,"at":%d,"until":%d,"kind":%q,"key":%s,"gone":%t,"value":%s}`+"\n", r.Seq, r.At, r.Until, k.name, key, r.Gone, text)
	})
	for _, u := range unknown {
		fmt.Fprintf(errs, "unknown between records %d and %d\n", u.After, u.Before)
	}
	if len(unknown) > 0 {
		return bad
	}
	return good
}
