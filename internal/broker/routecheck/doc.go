// Package routecheck judges where queries would go, without any: expectations that operators keep beside their configuration, and what
// would become of one query. It does no input or output and reads no clock.
//
// It owns what an expectation means. It must never plan or pick by itself: ranges come from the layout's planner or the search
// front's, holders and sends from the module that serves (saffronquay.Scheduler), with the settings that it serves by.
package routecheck
