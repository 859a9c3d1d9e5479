// Package logging names every event that the broker logs, with its fields, and writes the lines.
//
// It is built on log/slog. An event is a Name of the table Fields; a test checks that each call uses a name and fields of the table. Frequent events are limited to some lines
// a second; the next line that is written says how many were suppressed (field unwritten). Values of clients' data must never be logged.
package logging
