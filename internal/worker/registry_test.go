package worker_test

import (
	"slices"
	"testing"
)

// The registry iterates over its machines in the order of their indices and skips removed
// machines. Removing a machine for a second time must not remove a newer machine of the same
// name.
func TestRegistryIteratesInOrder(t *testing.T) {
	c := newCluster(0)
	check := func(when string, want ...string) {
		t.Helper()
		var names []string
		for machine := range c.All() {
			names = append(names, machine.Name)
		}
		if !slices.Equal(names, want) || c.Len() != len(want) {
			t.Errorf("%s: All() = %v, Len() = %d, want %v", when, names, c.Len(), want)
		}
	}
	check("in a new registry")
	for _, name := range []string{"i-2", "i-1", "i-3"} {
		c.Add(name, c.now)
	}
	check("after three are added", "i-2", "i-1", "i-3")
	removed := c.Lookup("i-1")
	c.Remove(removed)
	check("after one is removed", "i-2", "i-3")
	c.Add("i-1", c.now)
	c.Remove(removed)
	check("after it is added again and the removed machine is removed twice", "i-2", "i-1", "i-3")
	c.Reset()
	check("after a reset")
}
