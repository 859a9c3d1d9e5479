package simulation

import (
	"saffronquay/internal/scheduler/replica"

	"google.golang.org/protobuf/proto"
)

// encode encodes a command. It panics on an error, because the simulation creates all commands itself.
func encode(command proto.Message) []byte {
	encoded, err := replica.Marshal(command)
	if err != nil {
		panic(err)
	}
	return encoded
}
