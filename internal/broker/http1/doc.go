// Package http1 reads and writes HTTP/1.1 messages without a socket. A Parser is a state machine
// that receives the bytes of one direction of one connection, split in any way. Complete header
// blocks are parsed by net/textproto.
//
// The parser rejects messages that two parties could frame differently (request smuggling), and
// limits the size of header blocks and bodies. A Parser is not safe for concurrent use. If a
// message is malformed, Next returns an *Error with the status for the answer; no further message
// of the connection can be read.
package http1
