package simtest

import (
	"io"
	"strings"
	"testing"
	"time"
)

// jsonText is a JSON string of so many bytes.
func jsonText(bytes int) string { return `"` + strings.Repeat("x", bytes-2) + `"` }

// commitValues sends a transaction that writes values to keys of their own, and returns the
// status of the answer.
func commitValues(world *World, values ...string) int {
	operations := make([]string, 0, len(values))
	for i, value := range values {
		operations = append(operations, `{"write":"k/`+string(rune('a'+i))+`","data":`+value+`}`)
	}
	status, _ := world.stateService.commit([]byte(`{"then":[` + strings.Join(operations, ",") + `]}`))
	return status
}

// TestLowering shows that the state service's stand-in keeps what it holds,
// refuses what is new and too large, and whose fault that is.
func TestLowering(t *testing.T) {
	for _, test := range []struct {
		name      string
		announced bool
		next      Arguments
	}{
		{"unannounced", false, Arguments{}},
		{"announced", true, Arguments{"nextvalue": "2", "nextops": "4", "nextwrites": "15"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			world := NewWith(Options{Settings: Announce(Settings, test.next), Controllers: 1, Seed: 1, Log: io.Discard})
			if got := commitValues(world, jsonText(3000), "1", "2", "3", "4"); got != 200 {
				t.Fatalf("before: %d", got)
			}
			runCommand(t, world, "limits", Arguments{"value": "2", "ops": "4", "writes": "15"})
			world.Run(10 * time.Second)
			checkSizeLimits(t, world)
			if got := world.Verdict() != "kept"; got != test.announced {
				t.Errorf("announced %v: %s", test.announced, world.Verdict())
			}
			world.Run(10 * time.Second)
			checkWriteRate(t, world)
			checkEndlessRetries(t, world)
		})
	}
}

// checkSizeLimits checks a state service whose limits were lowered to four writes and 2 KiB.
func checkSizeLimits(t *testing.T, world *World) {
	t.Helper()
	if got := string(world.stateService.keys["k/a"].data); got != jsonText(3000) {
		t.Errorf("what was stored is %d bytes", len(got))
	}
	if got := commitValues(world, jsonText(2048), "1"); got != 200 {
		t.Errorf("within the limits: %d", got)
	}
	tooLarge, tooMany := commitValues(world, jsonText(2049)), commitValues(world, "1", "2", "3", "4", "5")
	if tooLarge != 400 || tooMany != 400 || world.stateService.tooLarge != 2 {
		t.Errorf("beyond: %d, %d, %d counted", tooLarge, tooMany, world.stateService.tooLarge)
	}
}

// checkWriteRate checks that of ten transactions of three writes at once, five are taken at
// 15 writes a second.
func checkWriteRate(t *testing.T, world *World) {
	t.Helper()
	taken := 0
	for range 10 {
		if commitValues(world, "1", "2", "3") == 200 {
			taken++
		}
	}
	if taken != 5 || world.stateService.refusedForRate != 5 {
		t.Errorf("%d of 10 writes of three were taken at 15 a second", taken)
	}
}

// checkEndlessRetries checks that a write that is too large and tried for ever is reported.
func checkEndlessRetries(t *testing.T, world *World) {
	t.Helper()
	for range 3 * maxRepeats {
		world.Run(100 * time.Millisecond)
		commitValues(world, jsonText(3000))
	}
	if !strings.Contains(world.Verdict(), "k/a is tried again and again") {
		t.Errorf("endless tries: %s", world.Verdict())
	}
}
