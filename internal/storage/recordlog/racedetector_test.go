package recordlog_test

import (
	"runtime/debug"
	"slices"
)

// raceDetector reports whether the race detector is enabled, which slows tests down about
// tenfold.
var raceDetector = func() bool {
	info, ok := debug.ReadBuildInfo()
	return ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"})
}()
