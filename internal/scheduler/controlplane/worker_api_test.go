package controlplane

import (
	"testing"

	"github.com/matryer/is"
)

// The buffer of a heartbeat is reused: the parsed heartbeat must not refer to it.
func TestReadHeartbeat_CopiesBuffer(t *testing.T) {
	is := is.New(t)
	buffer := []byte(`{"service":"s1","address":"10.0.0.1:80","zone":"z","capacity":12,"state":"draining","models":[{"name":"m","version":3}],"sequence":4}`)
	instance, err := readHeartbeat("i-1", buffer)
	is.NoErr(err)
	for i := range buffer {
		buffer[i] = '#'
	}
	is.Equal(instance.Service, "s1")
	is.Equal(instance.Address, "10.0.0.1:80")
	is.Equal(instance.Models[0].Name, "m")
	is.True(instance.Draining && instance.Sequence == 4)
}
