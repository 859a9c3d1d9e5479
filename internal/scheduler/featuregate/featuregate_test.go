package featuregate

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
)

// Every gate is on by default and can be switched off by its name; the settings file and the command line use the same names.
func TestEachSwitchHasItsName(t *testing.T) {
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

// A gate or policy that is not known is an error.
func TestUnknownNames(t *testing.T) {
	is := is.New(t)
	s := All()
	is.True(s.Disable("nothing") != nil)
	s.Policy = "luck"
	is.True(s.Check() != nil)
}
