package main

import (
	"context"
	"log/slog"
	"runtime"
	"runtime/debug"
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/settings"
	"slices"
	"time"
)

const (
	// memoryFraction is the fraction of the memory limit of the settings that is set as the memory
	// limit of the Go runtime.
	memoryFraction = 0.7
	// storageGCPercent is the GC percentage of a storage node, which has a large live heap and for
	// which collections are cheap.
	storageGCPercent = 25
	// edgeGCPercent is the GC percentage of the processes of an edge machine, which have a small live
	// heap.
	edgeGCPercent = 40
	// memoryReportInterval is the interval of the memory reports in the log, at level debug.
	memoryReportInterval = 2 * time.Second
)

// limitMemory sets the GC percentage for the role, and the runtime's memory limit from the settings. A
// steward uses Go's default GC percentage.
func limitMemory(s *settings.Settings) {
	switch {
	case slices.Contains(s.Serves, settings.ServesStorage):
		debug.SetGCPercent(storageGCPercent)
	case !slices.Contains(s.Serves, settings.ServesControlPlane):
		debug.SetGCPercent(edgeGCPercent)
	}
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(s.Limits.MemoryMB<<20)))
	}
}

// reportMemory periodically logs the runtime's memory statistics and all metrics until ctx is done.
func reportMemory(ctx context.Context, log *slog.Logger) {
	ticker := time.NewTicker(memoryReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			log.Debug("memory", "heap_mb", m.HeapAlloc>>20, "in_use_mb", m.HeapInuse>>20, "idle_mb", (m.HeapIdle-m.HeapReleased)>>20,
				"stack_mb", m.StackInuse>>20, "collections", m.NumGC, "goroutines", runtime.NumGoroutine())
			log.Debug("metrics", "text", metrics.Text())
		case <-ctx.Done():
			return
		}
	}
}
