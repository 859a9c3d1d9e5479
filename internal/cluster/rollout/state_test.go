package rollout

import (
	"saffronquay/internal/cluster/rollout/wire"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// Guards against a commit that changes a document while a message with it is being encoded: the version in force
// has the parts of the commit, and the proposed document that was handed out stays as it was.
func TestApply_CommitKeepsProposedDocument(t *testing.T) {
	is := is.New(t)
	apply := func(s *state, index uint64, e *wire.Entry) {
		data, err := proto.Marshal(e)
		is.NoErr(err)
		is.NoErr(s.apply(index, data))
	}
	s := &state{}
	apply(s, 5, &wire.Entry{Kind: entryPropose, Document: NewDocument(0, []byte("text")), Nonce: 1})
	proposed := s.Open.Document // what a Word to the holders contains
	sent := proto.CloneOf(proposed)
	parts := []*wire.Part{{Region: "n", Ppm: 600_000}, {Region: "s", Ppm: 400_000}}
	apply(s, 6, &wire.Entry{Kind: entryCommit, Attempt: 5, Parts: parts})
	is.True(proto.Equal(proposed, sent))
	want := proto.CloneOf(sent)
	want.Parts = parts
	is.True(proto.Equal(s.Current, want))
}
