// Package decoder decodes CBOR messages between the processes of the system.
//
// It also accepts texts that are no UTF-8. Answers, paths, headers, keys and IDs have the bytes that callers and upstreams chose, and a
// message that holds such bytes must not break the link or the call that carries it.
package decoder
