package simtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"lugward/internal/jsonwire"
)

// serviceLimits are the limits of the state service.
type serviceLimits struct {
	requestsPerSecond, writesPerSecond, valueKB float64
	txnOps                                      int
}

// limitOverride holds changed limits of the state service, and counts the requests that exceed
// the limits.
type limitOverride struct {
	override         *serviceLimits             // nil means the limits of the settings
	tooLargeCount    int                        // requests rejected with status 400 because of their size
	tooLargeAttempts map[string][]time.Duration // times of the latest rejections, by key or together for transactions
	endlessRetries   int                        // times that a write was retried too often
}

// writeDelays delays the next transactions that write keys with a prefix.
type writeDelays struct {
	delayedPrefix string // prefix of the keys
	writeDelay    time.Duration
	writesToDelay int // number of transactions still to delay
}

// currentLimits returns the limits in force.
func (service *fakeStateService) currentLimits() serviceLimits {
	if service.override != nil {
		return *service.override
	}
	settings := &service.world.config.Settings.State
	return serviceLimits{settings.RPS, settings.WriteRPS, settings.ValueKB, settings.TxnOps}
}

// setLimits changes the limits without notice. Stored values are kept even if they exceed the
// new limits.
func (service *fakeStateService) setLimits(arguments Arguments) {
	limits := service.currentLimits()
	limits.requestsPerSecond = arguments.number("rps", fmt.Sprint(limits.requestsPerSecond))
	limits.writesPerSecond = arguments.number("writes", fmt.Sprint(limits.writesPerSecond))
	limits.valueKB = arguments.number("value", fmt.Sprint(limits.valueKB))
	limits.txnOps = int(arguments.number("ops", fmt.Sprint(limits.txnOps)))
	service.override = &limits
}

// A write that is too large and is attempted maxTooLargeAttempts times within tooLargeWindow
// counts as an endless retry. Only the first maxReportedTooLarge requests that are too large are
// reported one by one.
const (
	maxReportedTooLarge = 5
	maxTooLargeAttempts = 20
	tooLargeWindow      = 10 * time.Second
)

// rejectTooLarge rejects a request that exceeds the limits. If the limits are those of the
// settings or were announced there, the request is a violation by the controller. If they were
// lowered without announcement, a controller may try, but must not retry endlessly.
func (service *fakeStateService) rejectTooLarge(what, format string, values ...any) (int, any) {
	service.tooLargeCount++
	if (service.override == nil || service.world.limitsAnnounced) && service.tooLargeCount <= maxReportedTooLarge {
		service.world.reportLimitViolation("%.2fs state service got %s", service.world.now.Seconds(), fmt.Sprintf(format, values...))
	}
	if service.tooLargeAttempts == nil {
		service.tooLargeAttempts = map[string][]time.Duration{}
	}
	attempts := append(slices.Clip(service.tooLargeAttempts[what]), service.world.now)
	if len(attempts) > maxTooLargeAttempts {
		attempts = attempts[len(attempts)-maxTooLargeAttempts:]
		if service.world.now-attempts[0] < tooLargeWindow {
			service.reportEndlessRetries(what)
			attempts = nil
		}
	}
	service.tooLargeAttempts[what] = attempts
	return http.StatusBadRequest, nil
}

// reportEndlessRetries counts an endless retry, and reports the first one.
func (service *fakeStateService) reportEndlessRetries(what string) {
	service.endlessRetries++
	if service.endlessRetries == 1 {
		service.world.reportLimitViolation("%.2fs %s is retried endlessly although it is too large", service.world.now.Seconds(), what)
	}
}

// delayMatchingWrite schedules a transaction for later execution without a response if it
// writes a key with the delayed prefix. It reports whether it did.
func (service *fakeStateService) delayMatchingWrite(body []byte) bool {
	if service.writesToDelay == 0 {
		return false
	}
	var request struct {
		Then []struct {
			Write string `json:"write"`
		} `json:"then"`
	}
	_ = jsonwire.Unmarshal(body, &request)
	for _, operation := range request.Then {
		if strings.HasPrefix(operation.Write, service.delayedPrefix) {
			service.writesToDelay--
			service.world.schedule(service.writeDelay, func() { service.commit(body) })
			return true
		}
	}
	return false
}

// Announce returns the settings with the next limits of the state service added to them.
func Announce(settings string, arguments Arguments) string {
	next := map[string]float64{}
	for arg, name := range map[string]string{"nextrps": "rps", "nextwrites": "write_rps", "nextvalue": "value_kb", "nextops": "txn_ops"} {
		if _, ok := arguments[arg]; ok {
			next[name] = arguments.number(arg, "0")
		}
	}
	if len(next) == 0 {
		return settings
	}
	limits, _ := json.Marshal(next)
	return strings.Replace(settings, `"txn_ops":12}`, `"txn_ops":12,"next":`+string(limits)+`}`, 1)
}
