package harness

// T is the part of *testing.T that the harness uses. A Runner implements it where no test runs. Fatal and Fatalf must not return.
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
