package ledger

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/runtime/protoiface"

	"saffronquay/internal/system/rpc"
)

// decode reads a command whose texts and bodies stay where they are, in the log's entry: a ledger holds each of them once in memory.
func decode(command []byte, c *rpc.LedgerCommand) error {
	m := c.ProtoReflect()
	methods := m.ProtoMethods()
	if methods == nil || methods.Unmarshal == nil {
		return proto.Unmarshal(command, c)
	}
	_, err := methods.Unmarshal(protoiface.UnmarshalInput{Message: m, Buf: command, Flags: protoiface.UnmarshalAliasBuffer | protoiface.UnmarshalCheckRequired,
		Depth: decodeDepth})
	return err
}

// decodeDepth bounds how deep messages may lie in each other.
const decodeDepth = 100
