// Package batcher collects records and writes them to the object store in batches.
//
// A batch whose write failed or lost its answer is written again under the same
// name, so that no record is lost or duplicated. The number of records that wait
// during an outage is limited; further records are dropped and counted.
package batcher
