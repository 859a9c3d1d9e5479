// Package fit puts a line through measured points, and says what the line misses. It is pure.
package fit
