// Package heaptest measures the heap for tests of how much memory data takes.
package heaptest

import "runtime"

// InUse returns the size of the heap in use, in bytes, after a garbage collection.
func InUse() float64 {
	runtime.GC()
	runtime.GC() // frees what the first collection has finalized
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
