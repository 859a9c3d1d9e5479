// Package platform translates the platform's own protocol: requests and answers of clients (Front), frames of workers (Workers), and the
// lists of workers that discovery sends (List).
//
// The package owns the formats and their bounds. It opens no socket, starts no goroutine, reads no clock and decides nothing: times come from
// the caller, in microseconds, and package core decides how a query proceeds. A Front and a Workers have only settings and are safe for
// concurrent use. A session belongs to one connection and a List to one caller; neither is safe for concurrent use.
//
// A client's request that cannot be read becomes an HTTP response that names the reason. An error of a session's Feed means that nothing more
// on that connection can be trusted, so that the caller has to close it.
package platform
