package simtest

import (
	"io"
	"strings"
	"testing"
	"time"
)

// jsonText returns a JSON string of the given length in bytes, including the quotes.
func jsonText(bytes int) string { return `"` + strings.Repeat("x", bytes-2) + `"` }

// commitValues commits a transaction that writes each value to its own key, and returns the
// response status.
func commitValues(world *World, values ...string) int {
	operations := make([]string, 0, len(values))
	for i, value := range values {
		operations = append(operations, `{"write":"k/`+string(rune('a'+i))+`","data":`+value+`}`)
	}
	status, _ := world.stateService.commit([]byte(`{"then":[` + strings.Join(operations, ",") + `]}`))
	return status
}

// TestLowering checks that the fake state service keeps its stored values when its limits are
// lowered, rejects new requests that exceed them, and reports these as violations of the
// controller only if the lower limits were announced.
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
				t.Fatalf("commit before the limits were lowered returned status %d, want 200", got)
			}
			runCommand(t, world, "limits", Arguments{"value": "2", "ops": "4", "writes": "15"})
			world.Run(10 * time.Second)
			checkSizeLimits(t, world)
			if got := world.Verdict() != "kept"; got != test.announced {
				t.Errorf("limits announced: %v, verdict: %s; want violations only if announced", test.announced, world.Verdict())
			}
			world.Run(10 * time.Second)
			checkWriteRate(t, world)
			checkEndlessRetries(t, world)
		})
	}
}

// checkSizeLimits checks a state service whose limits were lowered to four writes per
// transaction and values of 2 KiB.
func checkSizeLimits(t *testing.T, world *World) {
	t.Helper()
	if got := string(world.stateService.keys["k/a"].data); got != jsonText(3000) {
		t.Errorf("value stored before the limits were lowered has %d bytes, want 3000", len(got))
	}
	if got := commitValues(world, jsonText(2048), "1"); got != 200 {
		t.Errorf("commit within the limits returned status %d, want 200", got)
	}
	tooLarge, tooMany := commitValues(world, jsonText(2049)), commitValues(world, "1", "2", "3", "4", "5")
	if tooLarge != 400 || tooMany != 400 || world.stateService.tooLargeCount != 2 {
		t.Errorf("commits over the limits returned status %d and %d, want 400; counted %d as too large, want 2", tooLarge, tooMany, world.stateService.tooLargeCount)
	}
}

// checkWriteRate checks that five of ten simultaneous transactions with three writes each are
// committed at a limit of 15 writes per second.
func checkWriteRate(t *testing.T, world *World) {
	t.Helper()
	committed := 0
	for range 10 {
		if commitValues(world, "1", "2", "3") == 200 {
			committed++
		}
	}
	if committed != 5 || world.stateService.rateLimitedCount != 5 {
		t.Errorf("committed %d of 10 transactions of 3 writes at 15 writes per second, want 5 and 5 rejected for the rate", committed)
	}
}

// checkEndlessRetries checks that endless retries of a write that is too large are reported.
func checkEndlessRetries(t *testing.T, world *World) {
	t.Helper()
	for range 3 * maxTooLargeAttempts {
		world.Run(100 * time.Millisecond)
		commitValues(world, jsonText(3000))
	}
	if !strings.Contains(world.Verdict(), "k/a is retried endlessly") {
		t.Errorf("verdict %q does not report the endless retries of k/a", world.Verdict())
	}
}
