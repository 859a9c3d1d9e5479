package registry

import (
	"bufio"
	"bytes"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/replica"
	"testing"
)

// FuzzRestore restores a state from arbitrary bytes: either an error, or a state whose own snapshot
// can be restored.
func FuzzRestore(f *testing.F) {
	source := New("registry-0", feed.NewTable())
	put(source, 2, worker(5, 3, true))
	snapshot, err := replica.EncodeState(source.Snapshot())
	if err != nil {
		f.Fatal(err)
	}
	var encoded bytes.Buffer
	if _, err := encoded.ReadFrom(snapshot); err != nil {
		f.Fatal(err)
	}
	f.Add(encoded.Bytes())
	f.Fuzz(func(t *testing.T, encoded []byte) {
		state := New("registry-0", feed.NewTable())
		if state.Restore(1, bufio.NewReader(bytes.NewReader(encoded))) != nil {
			return
		}
		own, err := replica.EncodeState(state.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		if err := New("registry-0", feed.NewTable()).Restore(2, own); err != nil {
			t.Errorf("restore own snapshot: %v", err)
		}
	})
}

// FuzzApply applies a command of arbitrary bytes. Every replica applies a committed command,
// whatever its contents.
func FuzzApply(f *testing.F) {
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, command []byte) {
		state := New("registry-0", feed.NewTable())
		state.Apply(2, command)
		if _, err := replica.EncodeState(state.Snapshot()); err != nil {
			t.Fatal(err)
		}
	})
}
