// Package configuration parses, validates and patches the operator's configurations, and looks up
// routes, services and limits in them.
//
// # Responsibilities
//
// Document is the JSON document that an operator submits. Parse accepts it only if it is consistent;
// ParseTrusted decodes one that was validated before. ApplyPatch applies a patch of named items to a
// document's text. Table is the index of one document: it finds the route of a request, and services.
//
// # Boundaries
//
// The package neither stores nor distributes configurations, and does not decide which one is in
// effect; package directory does. It does not know workers: whether a service has any is up to the
// users of a Table.
//
// # Concurrency and errors
//
// A Table is immutable and safe for concurrent use, as long as the Document that it was created from is
// not modified. The functions have no state and do not retain their input. Errors begin with
// "configuration:" or with the location of the problem in the document, such as
// "routes[2] (name).timeoutMs:"; Parse reports all problems, joined by errors.Join.
package configuration
