// Package opensearch implements a subset of the OpenSearch search API, for clients (Frontend) and
// for servers (ServerProtocol). It is the broker's second protocol; the first is package platform.
//
// The package owns the formats, the supported clauses, the mapping of a query to the shards of its
// index, and the texts of errors. It opens no socket, starts no goroutine and reads no clock; the
// caller passes times in microseconds. Package core and the decision module choose replicas and
// retries and decide when a query ends; package merge combines the partial answers.
//
// A Frontend and a ServerProtocol are safe for concurrent use. A session belongs to one connection
// and is not. The function returned by Frontend.Open may wait for the disk.
//
// An error in a client's request is a requestError, which becomes a response with a status and a
// type known to OpenSearch clients. After an error of a session's Feed the caller must close the
// connection.
package opensearch
