// Package pipeline holds the graph of jobs as persisted in the state service: job
// records, run records (which tasks may be on which machine, and which are done), retry
// records and terminal records. Every controller builds the same table from the watch
// cache. Only the leader adds pending writes, which Flush queues as transactions.
//
// A job is held until all of its upstream jobs are done; from then on it is ready. The
// job ends when its terminal record is written, as done or cancelled. An assignment
// states that an attempt of a task may be on a machine. An assignment counts as persisted
// once the watch cache shows it.
package pipeline
