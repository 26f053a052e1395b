package simtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// serviceLimits are what the state service allows.
type serviceLimits struct {
	requestsPerSecond, writesPerSecond, valueKB float64
	txnOps                                      int
}

// limitOverride is what a state service's limits are lowered to, and what comes of
// it.
type limitOverride struct {
	override         *serviceLimits // nil: as the settings have them
	tooLarge         int            // 400s for size
	tooLargeAttempts map[string][]time.Duration
	endlessRetries   int // writes tried too often
}

// writeDelays let the next transactions that write certain keys be carried out late.
type writeDelays struct {
	delayedPrefix string // of the keys
	writeDelay    time.Duration
	writesToDelay int // so many transactions
}

// currentLimits tells what is allowed now.
func (service *fakeStateService) currentLimits() serviceLimits {
	if service.override != nil {
		return *service.override
	}
	settings := &service.world.config.Settings.State
	return serviceLimits{settings.RPS, settings.WriteRPS, settings.ValueKB, settings.TxnOps}
}

// setLimits changes the limits without notice. What is stored stays.
func (service *fakeStateService) setLimits(arguments Arguments) {
	limits := service.currentLimits()
	limits.requestsPerSecond = arguments.number("rps", fmt.Sprint(limits.requestsPerSecond))
	limits.writesPerSecond = arguments.number("writes", fmt.Sprint(limits.writesPerSecond))
	limits.valueKB = arguments.number("value", fmt.Sprint(limits.valueKB))
	limits.txnOps = int(arguments.number("ops", fmt.Sprint(limits.txnOps)))
	service.override = &limits
}

// Many writes too large in a short time are one that is tried for ever. Only
// the first ones are named.
const (
	maxNamed      = 5
	maxRepeats    = 20
	repeatsWithin = 10 * time.Second
)

// refuseTooLarge answers what is over the limits. It is the service's own fault
// where the limits were announced; where they were not it may try, but not for ever.
func (service *fakeStateService) refuseTooLarge(what, format string, values ...any) (int, any) {
	service.tooLarge++
	if (service.override == nil || service.world.limitsAnnounced) && service.tooLarge <= maxNamed {
		service.world.reportLimitViolation("%.2fs state service got %s", service.world.now.Seconds(), fmt.Sprintf(format, values...))
	}
	if service.tooLargeAttempts == nil {
		service.tooLargeAttempts = map[string][]time.Duration{}
	}
	attempts := append(slices.Clip(service.tooLargeAttempts[what]), service.world.now)
	if len(attempts) > maxRepeats {
		attempts = attempts[len(attempts)-maxRepeats:]
		if service.world.now-attempts[0] < repeatsWithin {
			service.reportEndlessRetries(what)
			attempts = nil
		}
	}
	service.tooLargeAttempts[what] = attempts
	return http.StatusBadRequest, nil
}

// reportEndlessRetries notes that a write is tried again and again; the first one is reported.
func (service *fakeStateService) reportEndlessRetries(what string) {
	service.endlessRetries++
	if service.endlessRetries == 1 {
		service.world.reportLimitViolation("%.2fs %s is tried again and again though it is too large", service.world.now.Seconds(), what)
	}
}

// delayMatchingWrite takes a transaction that is to be carried out later and not answered.
func (service *fakeStateService) delayMatchingWrite(body []byte) bool {
	if service.writesToDelay == 0 {
		return false
	}
	var request struct {
		Then []struct {
			Write string `json:"write"`
		} `json:"then"`
	}
	_ = json.Unmarshal(body, &request)
	for _, operation := range request.Then {
		if strings.HasPrefix(operation.Write, service.delayedPrefix) {
			service.writesToDelay--
			service.world.schedule(service.writeDelay, func() { service.commit(body) })
			return true
		}
	}
	return false
}

// Announce adds to the settings the limits that the state service will have.
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
