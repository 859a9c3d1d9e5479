// Package work measures what serving queries costs a gatherer at scale. It runs a simulated
// ("hollow") fleet of workers, i.e. one process that listens for thousands of them and speaks the
// platform's protocol, its discovery service, and clients, around one real gatherer process.
//
// Simulated workers hold no data and do no work: the cost of a part at a worker consists of its
// sockets, its frames and its answer. The package counts and does not judge. Figures are CPU time,
// bytes, messages and memory; response times are reported but nothing depends on them.
package work
