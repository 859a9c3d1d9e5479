// Package http1 reads and writes HTTP/1.1 messages without a socket. A Parser is a state machine that is fed the bytes of one direction of one connection, split in
// any way. Header blocks go to net/textproto once they are complete.
//
// The parser refuses messages that two parties could frame differently (request smuggling), and limits the size of header blocks and bodies. A Parser is not safe
// for concurrent use. A message that Next can't read is an *Error, which has the status that a server answers; it is final for the connection.
package http1
