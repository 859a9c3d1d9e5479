// Package pagination implements points in time: cursors over an index that keep pages stable while
// documents are written and ranges move.
//
// It issues and verifies the tokens of cursors, and limits how many cursors a tenant has open and
// for how long. It does not store pages: servers answer as of the cursor's time, or report that
// they cannot. The package does no input or output, reads no clock and draws no random numbers. A
// Registry is safe for concurrent use. Times are microseconds; those of a cursor are Unix
// microseconds.
//
// A token names its tenant and is authenticated by HMAC-SHA256, so that it cannot be forged or used
// by another tenant. If the operator's file has a key, every gatherer with that key accepts the
// token, also after a restart. Otherwise the token is valid only until the process ends.
//
// Errors wrap ErrExpired, ErrInvalid, ErrTooMany or ErrKeepAlive.
package pagination
