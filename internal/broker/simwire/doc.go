// Package simwire translates between the simulator's line protocol and the types of package saffronquay. Decode reads
// one line of input, Encode and EncodeAck append lines of output. The names on the wire are the simulator's own; this
// is the only package that knows them.
//
// It checks the form of a line only and decides nothing: whether settings make sense is judged by saffronquay.New,
// whether a line fits the ones before it by the program that hosts the instances. It keeps no state, so all functions
// are safe for concurrent use. Errors name the event type and the field at fault.
package simwire
