package harness

// T is the part of *testing.T that the harness uses. Outside of tests a Runner implements it. Fatal and
// Fatalf must not return.
type T interface {
	Helper()
	Errorf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Log(args ...any)
	Logf(format string, args ...any)
	Cleanup(func())
	Failed() bool
	TempDir() string
}
