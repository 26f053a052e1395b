package eventqueue

import (
	"slices"
	"testing"
	"time"
)

// TestOrder checks that actions are popped by time, then in the order in which they were pushed.
func TestOrder(t *testing.T) {
	var queue Queue
	var got []string
	add := func(at time.Duration, name string) {
		queue.Push(at, func() { got = append(got, name) })
	}
	add(2, "third")
	add(1, "first")
	add(1, "second")
	add(4, "too late")
	for {
		_, action, ok := queue.PopUntil(3)
		if !ok {
			break
		}
		action()
	}
	if want := []string{"first", "second", "third"}; !slices.Equal(got, want) {
		t.Errorf("actions ran in order %v, want %v", got, want)
	}
	if at, _, ok := queue.PopUntil(4); !ok || at != 4 {
		t.Errorf("PopUntil(4) returned time %d and ok %v, want 4 and true", at, ok)
	}
}
