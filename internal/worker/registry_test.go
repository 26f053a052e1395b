package worker_test

import (
	"slices"
	"testing"
)

// The registry iterates over its machines in the order of their indices, without those
// that were removed; one that was removed is not removed again in place of its
// successor.
func TestRegistryIteratesInOrder(t *testing.T) {
	c := newCluster(0)
	check := func(when string, want ...string) {
		t.Helper()
		var names []string
		for machine := range c.All() {
			names = append(names, machine.Name)
		}
		if !slices.Equal(names, want) || c.Len() != len(want) {
			t.Errorf("%s: machines %v, %d of them, not %v", when, names, c.Len(), want)
		}
	}
	check("at first")
	for _, name := range []string{"i-2", "i-1", "i-3"} {
		c.Add(name, c.now)
	}
	check("after three are added", "i-2", "i-1", "i-3")
	removed := c.Lookup("i-1")
	c.Remove(removed)
	check("after one is removed", "i-2", "i-3")
	c.Add("i-1", c.now)
	c.Remove(removed)
	check("after it is added anew", "i-2", "i-1", "i-3")
	c.Reset()
	check("after a reset")
}
