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
	// memoryFraction is the part of the machine's memory that the runtime tries to stay below.
	memoryFraction = 0.7
	// storageGCPercent is the garbage that a storage node may have before a collection, in percent of the live memory: it has much live memory,
	// and collections cost it little.
	storageGCPercent = 25
	// edgeGCPercent is the same for the processes of an edge machine, which have little live memory.
	edgeGCPercent = 40
	// memoryReportInterval is the time between two reports in the log, at level debug.
	memoryReportInterval = 2 * time.Second
)

// limitMemory sets the garbage collector for the role and the memory limit of the settings. A steward keeps Go's default percentage.
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

// reportMemory logs the runtime's memory and all metrics until ctx ends.
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
