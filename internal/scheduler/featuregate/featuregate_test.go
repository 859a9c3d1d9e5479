package featuregate

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
)

// Every gate is on by default and can be switched off by the name in its toml tag, which is also
// its name on the command line.
func TestGatesDisableByName(t *testing.T) {
	is := is.New(t)
	all := All()
	is.NoErr(all.Check())
	fields := reflect.TypeFor[Gates]()
	gates := 0
	for i := range fields.NumField() {
		field := fields.Field(i)
		if field.Type.Kind() != reflect.Bool {
			continue
		}
		gates++
		on := All()
		is.True(reflect.ValueOf(on).Field(i).Bool())
		is.NoErr(on.Disable(field.Tag.Get("toml")))
		is.True(!reflect.ValueOf(on).Field(i).Bool())
	}
	is.Equal(len(Names()), gates)
}

// An unknown gate or policy is an error.
func TestGatesUnknownName(t *testing.T) {
	is := is.New(t)
	gates := All()
	is.True(gates.Disable("nothing") != nil)
	gates.Policy = "luck"
	is.True(gates.Check() != nil)
}
