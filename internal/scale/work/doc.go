// Package work measures what the work on queries costs at size: a hollow fleet of workers, i.e. one process that listens for thousands of
// them and speaks the platform's protocol, the list of them as discovery gives it, and clients, round one real gatherer process.
//
// Hollow workers hold no data and do no work: what a part costs a worker here is its sockets, its frames and its answer. They judge nothing;
// they count. Figures are of processor time, bytes, messages and memory; times until an answer are told and nothing hangs on them.
package work
