package harness

// T is what the harness wants of a test, or of whoever runs it else.
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
