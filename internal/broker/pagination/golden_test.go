package pagination

import (
	"testing"

	"github.com/matryer/is"
)

// goldenToken is a token issued by an earlier build. Clients use tokens across restarts, so the
// format must stay compatible.
const goldenToken = "AQR0ZWFtCGludm9pY2VzAAYKJBgeQAAABgokG7HHAAAAAAAAAABje8tEpO7ORVXvas6gSu5gSA"

func TestGoldenToken(t *testing.T) {
	is := is.New(t)
	k := NewRegistry(Config{Key: []byte("0123456789abcdef0123456789abcdef")})
	c := Cursor{Tenant: "team", Index: "invoices", At: 1_700_000_000_000_000, Until: 1_700_000_060_000_000, Nonce: 99}
	is.Equal(k.encode(c), goldenToken)
	read, err := k.parse(goldenToken)
	is.NoErr(err)
	is.Equal(read, c)
}
