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
		{"whole margin", 30 * time.Second, 10 * time.Second, 15990 * time.Millisecond},
		{"half of the little time left", 16 * time.Second, 10 * time.Second, 2995 * time.Millisecond},
		{"no time left", 10 * time.Second, 10 * time.Second, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := GracePeriod(test.cancellation, test.workerLease); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}
