// Package configuration parses, checks, changes and looks up the operator's configurations: routes, the services behind them, and limits.
//
// # What it owns
//
// Document is the JSON document that an operator sends. Parse accepts it only if it is consistent by itself; ParseTrusted reads one that was
// checked before. ApplyPatch makes a new document text from a current one and a change of named items. Table answers the lookups for one
// document: which route a request takes, and which services there are.
//
// # What it must not know
//
// The package neither stores nor distributes configurations and does not decide which one is in force; package directory does. It knows no
// worker: whether a service has any is the business of the packages that use a Table.
//
// # Concurrency and errors
//
// A Table never changes and may be used from any goroutine, as long as the Document that it was made of is not changed. The functions keep no
// state and do not refer to their input after they return. Errors begin with "configuration:" or with the place of the fault in the document,
// such as "routes[2] (name).timeoutMs:"; Parse reports all faults that it finds, joined by errors.Join.
package configuration
