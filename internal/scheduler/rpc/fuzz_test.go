package rpc

import (
	"testing"

	"google.golang.org/protobuf/proto"
)

// FuzzMessages decodes arbitrary bytes as each kind of message that a process receives. A decoded
// message must be equal after encoding and decoding it again.
func FuzzMessages(f *testing.F) {
	kinds := []proto.Message{
		&StepRequest{}, &ProposeRequest{}, &StatusRequest{}, &WatchRequest{}, &WatchResponse{}, &HeartbeatRequest{}, &SubmitRequest{}, &WorkRequest{},
		&WorkResponse{}, &ReadResponse{}, &StoredRecord{}, &StoredJob{}, &DirectoryCommand{}, &RegistryCommand{}, &LedgerCommand{}, &DirectorySnapshot{},
	}
	f.Add(uint8(0), []byte{})
	f.Add(uint8(10), []byte{0x0a, 1, 'g'})
	f.Fuzz(func(t *testing.T, kind uint8, encoded []byte) {
		message := proto.Clone(kinds[int(kind)%len(kinds)])
		if proto.Unmarshal(encoded, message) != nil {
			return
		}
		again, err := proto.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		copied := message.ProtoReflect().New().Interface()
		if err := proto.Unmarshal(again, copied); err != nil || !proto.Equal(message, copied) {
			t.Errorf("message %v decoded as %v after encoding it, error %v", message, copied, err)
		}
	})
}
