package election

import (
	"testing"
	"time"
)

func TestGracePeriod(t *testing.T) {
	for _, test := range []struct {
		name                      string
		cancellation, workerLease time.Duration
		want                      time.Duration
	}{
		{"full margin", 30 * time.Second, 10 * time.Second, 15990 * time.Millisecond},
		{"half of the remaining time", 16 * time.Second, 10 * time.Second, 2995 * time.Millisecond},
		{"no time remaining", 10 * time.Second, 10 * time.Second, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := GracePeriod(test.cancellation, test.workerLease); got != test.want {
				t.Errorf("GracePeriod(%v, %v) = %v, want %v", test.cancellation, test.workerLease, got, test.want)
			}
		})
	}
}
