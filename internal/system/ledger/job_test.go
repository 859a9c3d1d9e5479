package ledger

import (
	"strings"
	"testing"

	"github.com/mailru/easyjson"
	"github.com/matryer/is"

	"saffronquay/internal/system/rpc"
)

const submission = `{"step":7,"model":"m1","minVersion":6,"desired":12,"later":{"unknown":[1]},"requests":[{"id":"e5","path":"/p/1","headers":{"Model":"m1","Token-Usage":"540,400"},
 "body":"q83vEjRWeJA=","tokens":940,"group":"g1","scorer":{"id":"40c8","host":"h","path":"/x/5e","body":"3q2+7w=="}}]}`

func TestSubmission(t *testing.T) {
	is := is.New(t)
	job, err := ParseSubmission([]byte(submission))
	is.NoErr(err)
	is.Equal(job.Model, "m1")
	is.Equal(job.Items[0].Body, []byte{0xab, 0xcd, 0xef, 0x12, 0x34, 0x56, 0x78, 0x90})
	is.Equal(job.Items[0].Headers[1].Value, "540,400")
	is.Equal(job.Items[0].Scorer.Id, "40c8")
	for _, broken := range []string{submission[:200], `{"requests":[]}`, strings.Replace(submission, `"id":"e5",`, "", 1), `{"requests":[{"id":"a"},{"id":"a"}]}`} {
		_, err := ParseSubmission([]byte(broken))
		is.True(err != nil)
	}
}

func TestPage(t *testing.T) {
	is := is.New(t)
	text := "a.1.2\nb \"quoted\" \\ \x01"
	page, err := NewPage(&rpc.ReadResponse{Total: 9, Results: []*rpc.Result{{Item: "x", Completed: true, Text: PackText([]byte(text)), WeightVersions: []uint64{6, 7}, Score: "s"},
		{Item: "y"}}}, 4)
	is.NoErr(err)
	is.Equal(page.NextToken, 6)
	out, err := easyjson.Marshal(page)
	is.NoErr(err)
	var again Page
	is.NoErr(easyjson.Unmarshal(out, &again))
	is.Equal(again.Results[0].Text, text)
	is.Equal(again.Results[1].State, Abandoned)
	is.Equal(again.Results[1].Text, "")
	_, err = UnpackText([]byte("nothing that was packed"))
	is.True(err != nil)
}

func TestShards(t *testing.T) {
	is := is.New(t)
	is.Equal(ShardsFor(3), 1)
	is.Equal(ShardsFor(14), 3)
	has := map[string]bool{"ledger-1": true}
	is.Equal(ShardsIn(func(g string) bool { return has[g] }), 0) // shard 0 is placed last
	has["ledger-0"] = true
	is.Equal(ShardsIn(func(g string) bool { return has[g] }), 2)
}
