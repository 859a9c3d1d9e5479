// Package platform translates the platform's own protocols: requests and responses of clients
// (Front), frames of workers (Workers), and the lists of workers that discovery sends (List).
//
// The package defines the formats and their limits. It opens no socket, starts no goroutine, reads
// no clock and makes no decision: the caller passes times, in microseconds, and package core
// decides how a query proceeds. Front and Workers have only settings and are safe for concurrent
// use. A session belongs to one connection and a List to one caller; neither is safe for concurrent
// use.
//
// A malformed client request results in an HTTP response that names the reason. After an error of a
// session's Feed no further byte on that connection can be trusted, and the caller must close it.
package platform
