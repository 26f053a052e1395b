package config

import (
	"fmt"
	"net/netip"
)

// check validates the settings. It returns an *Error for the first key with an invalid
// value.
func (p *Platform) check() error {
	for _, check := range []func() error{
		p.checkIdentity,
		p.checkAddresses,
		p.checkPositiveSettings,
		p.Settings.State.checkNext,
		p.checkLimits,
		p.checkTimes,
		p.checkObjectives,
		p.checkTeams,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Platform) checkIdentity() error {
	if p.Label == "" {
		return newError(Error{Key: "label", Expected: "a name"}, "label: expected a name, found an empty string")
	}
	for _, seed := range p.Seeds {
		if seed.Label == "" || seed.Label == p.Label {
			return newError(Error{Key: "seeds", Expected: "labels of other controllers", Found: seed.Label},
				"seeds: expected labels of other controllers, found %q", seed.Label)
		}
	}
	return nil
}

func (p *Platform) checkAddresses() error {
	type address struct{ key, value string }
	own := []address{
		{"bind", p.Bind},
		{"peer_bind", p.PeerBind},
		{"services.cloud", p.Services.Cloud},
		{"services.state", p.Services.State},
	}
	for _, a := range own {
		if err := checkAddress(a.key, a.value); err != nil {
			return err
		}
	}
	for _, seed := range p.Seeds {
		if err := checkAddress("seeds."+seed.Label+".endpoint", seed.Endpoint); err != nil {
			return err
		}
	}
	return nil
}

func checkAddress(key, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return newError(Error{Key: key, Expected: "an IP address and port", Found: value, Err: err},
			"%s: expected an IP address and port, found %q", key, value)
	}
	return nil
}

// positiveSetting is a numeric setting that must be positive.
type positiveSetting struct {
	key   string
	value float64
}

func checkPositive(settings []positiveSetting) error {
	for _, s := range settings {
		if !(s.value > 0) {
			return newError(Error{Key: s.key, Expected: "a positive number", Found: fmt.Sprint(s.value)},
				"%s: expected a positive number, found %v", s.key, s.value)
		}
	}
	return nil
}

func (p *Platform) checkPositiveSettings() error {
	s := &p.Settings
	return checkPositive([]positiveSetting{
		{"settings.workers.report_s", s.Workers.HeartbeatS},
		{"settings.workers.lease_s", s.Workers.LeaseS},
		{"settings.workers.gang_wait_s", s.Workers.GangWaitS},
		{"settings.workers.gang_peer_s", s.Workers.GangPeerS},
		{"settings.workers.cancel_s", s.Workers.CancelS},
		{"settings.state.rps", s.State.RPS},
		{"settings.state.write_rps", s.State.WriteRPS},
		{"settings.state.value_kb", s.State.ValueKB},
		{"settings.state.txn_ops", float64(s.State.TxnOps)},
		{"settings.cloud.rps", s.Cloud.RPS},
		{"settings.resources.core_share", s.Resources.CPUShare},
		{"settings.resources.ram_mb", s.Resources.MemoryMB},
		{"settings.resources.max_connections", float64(s.Resources.MaxConnections)},
	})
}

func (s *StateLimits) checkNext() error {
	if s.Next == nil {
		return nil
	}
	var present []positiveSetting
	for _, optional := range []struct {
		key   string
		value *float64
	}{
		{"settings.state.next.rps", s.Next.RPS},
		{"settings.state.next.write_rps", s.Next.WriteRPS},
		{"settings.state.next.value_kb", s.Next.ValueKB},
	} {
		if optional.value != nil {
			present = append(present, positiveSetting{optional.key, *optional.value})
		}
	}
	if s.Next.TxnOps != nil {
		present = append(present, positiveSetting{"settings.state.next.txn_ops", float64(*s.Next.TxnOps)})
	}
	return checkPositive(present)
}

// Minimum limits with which the controller can operate.
const (
	// connectionsPerPeer counts the connection to another controller and the connection
	// from it.
	connectionsPerPeer = 2
	// nonPeerConnections counts the connections to the state service (two
	// transactions, a watch, a barrier and a lease at a time), to the cloud, and a few
	// from workers and users.
	nonPeerConnections = 16
	// minValueKB is enough for a job record, or for a run record of the smallest number
	// of tasks that share one.
	minValueKB = 1
	// A term begins with a transaction of two writes, and the rate limits admit a burst
	// of one second.
	minTxnOps   = 2
	minWriteRPS = 2
)

// checkLimits rejects limits that are too low for the controller to operate.
func (p *Platform) checkLimits() error {
	state := &p.Settings.State
	strictest := state.Strictest()
	controllers := len(p.Seeds) + 1
	connections := connectionsPerPeer*len(p.Seeds) + nonPeerConnections
	// The limit that is too low may be the current or the announced one.
	stateKey := func(name string, current, strictest float64) string {
		if strictest < current {
			return "settings.state.next." + name
		}
		return "settings.state." + name
	}
	for _, limit := range []struct {
		key     string
		value   float64
		minimum float64
		purpose string
	}{
		{"settings.resources.max_connections", float64(p.Settings.Resources.MaxConnections), float64(connections), fmt.Sprintf("%d controllers, their services, workers and users", controllers)},
		{stateKey("rps", state.RPS, strictest.RPS), strictest.RPS, float64(controllers), fmt.Sprintf("one request per second from each of %d controllers", controllers)},
		{stateKey("write_rps", state.WriteRPS, strictest.WriteRPS), strictest.WriteRPS, minWriteRPS, "the writes that begin a term"},
		{stateKey("value_kb", state.ValueKB, strictest.ValueKB), strictest.ValueKB, minValueKB, "one record"},
		{stateKey("txn_ops", float64(state.TxnOps), float64(strictest.TxnOps)), float64(strictest.TxnOps), minTxnOps, "the writes that begin a term"},
	} {
		if limit.value < limit.minimum {
			return newError(Error{Key: limit.key, Expected: fmt.Sprintf("at least %v", limit.minimum), Found: fmt.Sprint(limit.value)},
				"%s: found %v, expected at least %v for %s", limit.key, limit.value, limit.minimum, limit.purpose)
		}
	}
	return nil
}

func (p *Platform) checkTimes() error {
	for _, s := range []struct {
		key   string
		value float64
	}{
		{"settings.cloud.list_lag_s", p.Settings.Cloud.ListLagS},
		{"settings.skew_ms", p.Settings.SkewMS},
	} {
		if s.value < 0 {
			return newError(Error{Key: s.key, Expected: "a non-negative number", Found: fmt.Sprint(s.value)},
				"%s: expected a non-negative number, found %v", s.key, s.value)
		}
	}
	// The tasks of a cancelled job must end within cancel_s, even if the leader loses
	// its connection to the state service. In that case the leader may keep its
	// workers running for cancel_s - lease_s, so that difference must be positive.
	if workers := &p.Settings.Workers; workers.CancelS <= workers.LeaseS {
		return newError(Error{Key: "settings.workers.cancel_s", Expected: fmt.Sprintf("more than %v", workers.LeaseS), Found: fmt.Sprint(workers.CancelS)},
			"settings.workers.cancel_s: expected more than settings.workers.lease_s (%v), found %v", workers.LeaseS, workers.CancelS)
	}
	return nil
}

func (p *Platform) checkObjectives() error {
	for _, o := range p.Settings.Objectives {
		if !o.Known() {
			continue
		}
		if o.WithinS < 0 || o.Share < 0 || o.Share > 1 || o.Times < 0 {
			return newError(Error{Key: "settings.objectives", Expected: "non-negative amounts and shares of at most 1", Found: o.Kind + " of class " + o.Class},
				"settings.objectives: %s of class %q: expected non-negative amounts and a share of at most 1, found within_s %v, share %v, times %v", o.Kind, o.Class, o.WithinS, o.Share, o.Times)
		}
	}
	return nil
}

func (p *Platform) checkTeams() error {
	for _, t := range p.Settings.Teams {
		if t.Name == "" || t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
			return newError(Error{Key: "settings.teams", Expected: "names and non-negative amounts", Found: "team " + t.Name},
				"settings.teams: team %q: expected a name and non-negative amounts, found cpus %v, cpus_max %v, gpus %v, gpus_max %v", t.Name, t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax)
		}
	}
	return nil
}
