package pipeline

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// roundTrip checks that a compact record says the same as a plain one.
func roundTrip(t *testing.T, n *Names, active []*Assignment) (size int) {
	t.Helper()
	plain := encodeRun(n, 7, nil, active, plainFormat)
	small := encodeRun(n, 7, nil, active, compactFormat)
	want, ok1 := decodeRun(plain, 16)
	got, ok2 := decodeRun(small, 16)
	byTask := func(a, b runAssignment) int { return a.task - b.task }
	slices.SortFunc(got.active, byTask)
	if !ok1 || !ok2 || want.compacted || !got.compacted || !reflect.DeepEqual(got.active, want.active) {
		t.Fatalf("%s\nis not\n%s", small, plain)
	}
	return len(small)
}

func TestCompact(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		n := &Names{}
		form := []string{"i-%06d", "%d", "x%d@+:,-y", "ü%d"}[rng.IntN(4)]
		first, next := 1024*rng.IntN(90), uint64(0)
		var active []*Assignment
		for task := range 1 + rng.IntN(256) {
			if next++; rng.IntN(5) == 0 {
				next = rng.Uint64N(300)
			}
			attempt := next
			if rng.IntN(3) == 0 {
				attempt = 3
			}
			if rng.IntN(4) > 0 {
				machine := n.Machines.Index(fmt.Sprintf(form, rng.IntN(1+rng.IntN(100))))
				active = append(active, &Assignment{Task: first + task, Machine: machine, Attempt: attempt})
			}
		}
		if len(active) > 0 {
			roundTrip(t, n, active)
		}
	}
}

// The largest chunks at hand fit half of what they were laid out for, however
// their tasks are spread.
func TestCompactSize(t *testing.T) {
	for _, c := range []struct {
		what    string
		n       int
		machine func(task int) int
		attempt func(task int) uint64
		most    int
	}{
		{"each on a machine of its own", 128, func(t int) int { return 100 + t*7 }, func(t int) uint64 { return uint64(t + 1) }, 2048},
		{"and placed again in any order", 128, func(t int) int { return 100 + t*7 }, func(t int) uint64 { return uint64(200 + t*37%128) }, 2048},
		{"an array of 256, four to a machine", 256, func(t int) int { return 100 + t/4 }, func(t int) uint64 { return uint64(t + 1) }, 1024},
		{"a gang of 256", 256, func(t int) int { return 100 + t }, func(int) uint64 { return 4 }, 2048},
	} {
		n := &Names{}
		var active []*Assignment
		for task := range c.n {
			active = append(active, &Assignment{Task: task, Machine: n.Machines.Index(fmt.Sprintf("i-%06d", c.machine(task))), Attempt: c.attempt(task)})
		}
		if size := roundTrip(t, n, active); size > c.most {
			t.Errorf("%s: %d bytes", c.what, size)
		}
	}
}

// Every rule of the compact format is the answer to some chunk.
func TestCompactRules(t *testing.T) {
	for want, attempts := range map[string][]uint64{
		"@4 i-1 0-3:":       {4, 4, 4, 4},
		"+1 i-1 0-3:":       {1, 2, 3, 4},
		"@4 i-1 0-2,3@9:":   {4, 4, 4, 9},
		"@4 i-1 0-2,3-4@9:": {4, 4, 4, 9, 9},
		"@4 i-1 0-2,3-4+9:": {4, 4, 4, 9, 10},
		"+1 i-1 0-2,3-4@9:": {1, 2, 3, 9, 9},
		"+1 i-1 0-2,3-4+9:": {1, 2, 3, 9, 10},
	} {
		n := &Names{}
		machine := n.Machines.Index("i-1")
		var active []*Assignment
		for task, attempt := range attempts {
			active = append(active, &Assignment{Task: task, Machine: machine, Attempt: attempt})
		}
		expect(t, "compact", compact(n, active), want)
		roundTrip(t, n, active)
	}
}

func TestExpandDamaged(t *testing.T) {
	good := "@1 i- 0-3,5@2:7 6+9:8"
	if list, ok := expand(good); !ok || len(list) != 6 {
		t.Fatalf("%v", list)
	}
	for _, bad := range []string{"", "@1", "1 i-", "@ i- 0:1", "@1 i- 0", "@1 i- :1", "@1 i- 3-1:1", "@1 i- 0-zzz:1", "@1 i- 0@:1", "@1 i- 0@-1:1", "@1  0:", "+-5 i- 0:1", "@1 i- 0-:1", "@1 i- +1:1"} {
		if list, ok := expand(bad); ok {
			t.Errorf("%q is read as %v", bad, list)
		}
	}
}
