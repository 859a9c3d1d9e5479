// Package compression compresses data that is kept in logs and carried between zones: the texts of batch items, which are most of the bytes,
// and configurations, which go to every gatherer. The format is DEFLATE without a header.
//
// There is one Codec for each kind of data. Data that one codec has compressed can be decompressed by any. The package knows nothing of what
// the data means.
//
// A Codec may be used by any goroutine. Only data that was not compressed, or is damaged, gives an error. Damage that leaves valid DEFLATE data
// is not detected: there is no checksum.
package compression
