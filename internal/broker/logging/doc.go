// Package logging defines every event that the broker logs, with its fields, and writes the log lines.
//
// It is built on log/slog. An event is a Name in the table Fields; a test checks that each call uses a
// name and fields of the table. Frequent events are limited to a number of lines per second; the next
// line written has the number of suppressed lines in the field unwritten. Values of clients' data must
// never be logged.
package logging
