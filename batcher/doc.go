// Package batcher collects records and writes them to the object store in batches.
//
// If the write of a batch fails or its answer is lost, the batch is written again
// under the same name, so that its records are neither lost nor duplicated. The
// number of records that wait to be written is limited; further records are dropped
// and counted.
package batcher
