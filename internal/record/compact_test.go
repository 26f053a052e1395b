package record

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// checkRoundTrip checks that a compact record decodes to the same assignments as a plain
// record, and returns the size of the compact record in bytes.
func checkRoundTrip(t *testing.T, active []Assignment) (size int) {
	t.Helper()
	plainData := (&Run{MaxAttempt: 7, Active: active, Format: Plain}).Encode()
	compactData := (&Run{MaxAttempt: 7, Active: active, Format: Compact}).Encode()
	want, errPlain := DecodeRun(plainData, 16)
	got, errCompact := DecodeRun(compactData, 16)
	slices.SortFunc(got.Active, func(a, b Assignment) int { return a.Task - b.Task })
	if errPlain != nil || errCompact != nil || want.Format != Plain || got.Format != Compact || !reflect.DeepEqual(got.Active, want.Active) {
		t.Fatalf("DecodeRun(%s) = %+v, %v\nDecodeRun(%s) = %+v, %v\nwant the same assignments, and formats Compact and Plain", compactData, got, errCompact, plainData, want, errPlain)
	}
	return len(compactData)
}

func TestCompact(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		nameFormat := []string{"i-%06d", "%d", "x%d@+:,-y", "ü%d"}[rng.IntN(4)]
		first, next := 1024*rng.IntN(90), uint64(0)
		var active []Assignment
		for task := range 1 + rng.IntN(256) {
			if next++; rng.IntN(5) == 0 {
				next = rng.Uint64N(300)
			}
			attempt := next
			if rng.IntN(3) == 0 {
				attempt = 3
			}
			if rng.IntN(4) > 0 {
				machine := fmt.Sprintf(nameFormat, rng.IntN(1+rng.IntN(100)))
				active = append(active, Assignment{Task: first + task, Machine: machine, Attempt: attempt})
			}
		}
		if len(active) > 0 {
			checkRoundTrip(t, active)
		}
	}
}

// In the compact format the largest segments fit into half of the size that segments are
// designed for, however their tasks are distributed over machines.
func TestCompactSize(t *testing.T) {
	for _, test := range []struct {
		name    string
		tasks   int
		machine func(task int) int
		attempt func(task int) uint64
		limit   int // bytes
	}{
		{
			name:    "one task per machine",
			tasks:   128,
			machine: func(task int) int { return 100 + task*7 },
			attempt: func(task int) uint64 { return uint64(task + 1) },
			limit:   2048,
		},
		{
			name:    "placed again in arbitrary order",
			tasks:   128,
			machine: func(task int) int { return 100 + task*7 },
			attempt: func(task int) uint64 { return uint64(200 + task*37%128) },
			limit:   2048,
		},
		{
			name:    "array of 256 tasks, four per machine",
			tasks:   256,
			machine: func(task int) int { return 100 + task/4 },
			attempt: func(task int) uint64 { return uint64(task + 1) },
			limit:   1024,
		},
		{
			name:    "gang of 256 tasks",
			tasks:   256,
			machine: func(task int) int { return 100 + task },
			attempt: func(int) uint64 { return 4 },
			limit:   2048,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			active := make([]Assignment, 0, test.tasks)
			for task := range test.tasks {
				active = append(active, Assignment{task, test.attempt(task), fmt.Sprintf("i-%06d", test.machine(task))})
			}
			if size := checkRoundTrip(t, active); size > test.limit {
				t.Errorf("compact record has %d bytes, want at most %d", size, test.limit)
			}
		})
	}
}

// Each kind of rule in the compact format is used by some segment.
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
		machine := "i-1"
		active := make([]Assignment, 0, len(attempts))
		for task, attempt := range attempts {
			active = append(active, Assignment{Task: task, Machine: machine, Attempt: attempt})
		}
		if got := compact(active); got != want {
			t.Errorf("compact(%v) = %q, want %q", active, got, want)
		}
		checkRoundTrip(t, active)
	}
}

func TestExpandDamaged(t *testing.T) {
	good := "@1 i- 0-3,5@2:7 6+9:8"
	if list, err := expand(good); err != nil || len(list) != 6 {
		t.Fatalf("expand(%q) = %v, %v, want 6 assignments", good, list, err)
	}
	for _, bad := range []string{"", "@1", "1 i-", "@ i- 0:1", "@1 i- 0", "@1 i- :1", "@1 i- 3-1:1", "@1 i- 0-zzz:1", "@1 i- 0@:1", "@1 i- 0@-1:1", "@1  0:", "+-5 i- 0:1", "@1 i- 0-:1", "@1 i- +1:1"} {
		if list, err := expand(bad); !errors.Is(err, ErrCompactText) {
			t.Errorf("expand(%q) = %v, %v, want error %q", bad, list, err, ErrCompactText)
		}
	}
}
