// Package pagination owns points in time: cursors over an index that keep pages stable while documents are written and ranges move.
//
// It makes and checks the tokens of cursors, and limits how many cursors a tenant has open and for how long. It never keeps the pages themselves: servers answer as
// of the cursor's time, or report that they can't. The package does no input or output, reads no clock and draws no random numbers. A Registry is safe for
// concurrent use. Times are microseconds; those of a cursor are Unix microseconds.
//
// A token names its tenant and is sealed by HMAC-SHA256, so that it can't be forged or used by another tenant. With a key in the operator's file, every gatherer with
// that key accepts it, also after a restart. Without one, the token ends with the process.
//
// Errors wrap ErrExpired, ErrInvalid, ErrTooMany or ErrKeepAlive.
package pagination
