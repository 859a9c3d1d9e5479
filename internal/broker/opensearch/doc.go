// Package opensearch translates a search API in the style of OpenSearch: towards clients (Front) and towards servers (Servers). It is the
// broker's second protocol, beside package platform.
//
// The package owns the formats, the supported clauses, the mapping of a query to the shards of its index, and the texts of errors. It opens
// no socket, starts no goroutine and reads no clock; times are microseconds that the caller gives. Package core and the decision module choose
// replicas, retries and when a query ends; package merge combines the partial answers.
//
// A Front and a Servers are safe for concurrent use. A session belongs to one connection and is not. The function that Front.Open returns
// may wait for the disk.
//
// A client's error is a requestError, which becomes a response with a status and a type that OpenSearch clients know. An error of a session's
// Feed means that the caller has to close the connection.
package opensearch
