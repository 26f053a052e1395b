// Package pipeline holds the graph of jobs as it is logged in the state service: job
// records, run records (which tasks may be on which machine, which are done), retry
// states and terminal records. Every controller keeps the same table by following the
// store's watch cache. Only the leader adds pending writes, which Flush queues as
// transactions.
//
// A job is held until all of its upstream jobs are done, and ready from then on. It ends
// with its terminal record: done, or cancelled. An assignment says that an attempt of a
// task may be on a machine; it counts as durable once the watch cache shows it.
package pipeline
