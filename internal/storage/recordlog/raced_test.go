package recordlog_test

import (
	"runtime/debug"
	"slices"
)

// raced tells that the race detector is on, which makes everything ten times as slow.
var raced = func() bool {
	info, ok := debug.ReadBuildInfo()
	return ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"})
}()
