package swim

import (
	"encoding/hex"
	"saffronquay/internal/cluster/swim/wire"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// goldenSealed is a message as an earlier build encodes it, and goldenHash the contribution of its
// record to a digest. Members of different builds must agree on both.
const (
	goldenSealed = "5f1d1ab9010a026731110200000000000000180320042801320d31302e302e302e313a373230303a017a420176500562026732"
	goldenHash   = uint64(8278942663504643497)
)

func TestGoldenSealedMessage(t *testing.T) {
	is := is.New(t)
	m := &wire.Member{Name: "g1", Start: 2, Incarnation: 3, Revision: 4, State: 1, Address: "10.0.0.1:7200", Zone: "z", Version: "v", Policy: 5, By: []string{"g2"}}
	is.Equal(hex.EncodeToString(seal(m)), goldenSealed)
	sealed, err := hex.DecodeString(goldenSealed)
	is.NoErr(err)
	read := &wire.Member{}
	is.NoErr(unseal(sealed, MaxDatagram, read))
	is.True(proto.Equal(read, m))
	is.Equal(Record{Name: "g1", Start: 2, Revision: 4}.hash(), goldenHash)
}
