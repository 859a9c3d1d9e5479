// Package compression compresses data that is stored in logs and sent between zones: the texts of batch
// items, which are most of the bytes, and configurations, which are sent to every gatherer. The format
// is raw DEFLATE, without a header.
//
// There is one Codec for each kind of data; any codec can decompress the data of another one. The
// package does not interpret the data.
//
// A Codec is safe for concurrent use. Decompress returns an error only for data that is not valid
// DEFLATE data. Other corruption is not detected, because there is no checksum.
package compression
