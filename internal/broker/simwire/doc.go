// Package simwire translates between the simulator's line protocol and the types of package
// saffronquay. Decode reads one line of input; Encode and EncodeAck append lines of output. The
// names on the wire are defined by the simulator, and only this package uses them.
//
// The package validates the format of a line only. saffronquay.New validates settings, and the
// program that hosts the instances checks whether a line fits the lines before it. The package has
// no state, and all functions are safe for concurrent use. Errors name the event type and the
// invalid field.
package simwire
