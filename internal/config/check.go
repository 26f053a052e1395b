package config

import (
	"fmt"
	"net/netip"
)

// check returns an *Error that names the first key with a bad value.
func (p *Platform) check() error {
	for _, check := range []func() error{
		p.checkIdentity,
		p.checkAddresses,
		p.checkAmounts,
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
		return problem(Error{Key: "label", Expected: "a name"}, "label is missing")
	}
	for _, seed := range p.Seeds {
		if seed.Label == "" || seed.Label == p.Label {
			return problem(Error{Key: "seeds", Expected: "labels of other controllers", Found: seed.Label},
				"seeds: label %q is empty or our own", seed.Label)
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
		return problem(Error{Key: key, Expected: "an address and port", Found: value, Err: err},
			"%s: %q is not an address and port", key, value)
	}
	return nil
}

// amount is a setting that must be positive.
type amount struct {
	key   string
	value float64
}

func checkPositive(amounts []amount) error {
	for _, a := range amounts {
		if !(a.value > 0) {
			return problem(Error{Key: a.key, Expected: "a positive number", Found: fmt.Sprint(a.value)},
				"%s must be positive", a.key)
		}
	}
	return nil
}

func (p *Platform) checkAmounts() error {
	s := &p.Settings
	return checkPositive([]amount{
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
	var given []amount
	for _, optional := range []struct {
		key   string
		value *float64
	}{
		{"settings.state.next.rps", s.Next.RPS},
		{"settings.state.next.write_rps", s.Next.WriteRPS},
		{"settings.state.next.value_kb", s.Next.ValueKB},
	} {
		if optional.value != nil {
			given = append(given, amount{optional.key, *optional.value})
		}
	}
	if s.Next.TxnOps != nil {
		given = append(given, amount{"settings.state.next.txn_ops", float64(*s.Next.TxnOps)})
	}
	return checkPositive(given)
}

// What the limits must allow for the service to work at all.
const (
	// connectionsPerPeer are our connection to another controller and its one to us.
	connectionsPerPeer = 2
	// otherConnections are those to the key-value store (two transactions, a watch, a
	// barrier and a lease at a time), to the cloud, and a few for workers and users.
	otherConnections = 16
	// minValueKB holds a job's record, or the run record of the fewest tasks that
	// share one.
	minValueKB = 1
	// A term begins with two writes at once, and rates allow a second's worth.
	minTxnOps   = 2
	minWriteRPS = 2
)

// checkLimits refuses limits with which the service could never do its work.
func (p *Platform) checkLimits() error {
	state := &p.Settings.State
	lasting := state.Lasting()
	controllers := len(p.Seeds) + 1
	connections := connectionsPerPeer*len(p.Seeds) + otherConnections
	// Either the present limit or the announced one may be too small.
	stateKey := func(name string, present, lasting float64) string {
		if lasting < present {
			return "settings.state.next." + name
		}
		return "settings.state." + name
	}
	for _, limit := range []struct {
		key     string
		value   float64
		least   float64
		purpose string
	}{
		{"settings.resources.max_connections", float64(p.Settings.Resources.MaxConnections), float64(connections), fmt.Sprintf("%d controllers, their services, workers and users", controllers)},
		{stateKey("rps", state.RPS, lasting.RPS), lasting.RPS, float64(controllers), fmt.Sprintf("one request a second of each of %d controllers", controllers)},
		{stateKey("write_rps", state.WriteRPS, lasting.WriteRPS), lasting.WriteRPS, minWriteRPS, "the writes that begin a term"},
		{stateKey("value_kb", state.ValueKB, lasting.ValueKB), lasting.ValueKB, minValueKB, "one record"},
		{stateKey("txn_ops", float64(state.TxnOps), float64(lasting.TxnOps)), float64(lasting.TxnOps), minTxnOps, "the writes that begin a term"},
	} {
		if limit.value < limit.least {
			return problem(Error{Key: limit.key, Expected: fmt.Sprintf("at least %v", limit.least), Found: fmt.Sprint(limit.value)},
				"%s is %v: at least %v are needed for %s", limit.key, limit.value, limit.least, limit.purpose)
		}
	}
	return nil
}

func (p *Platform) checkTimes() error {
	if lag := p.Settings.Cloud.ListLagS; lag < 0 {
		return problem(Error{Key: "settings.cloud.list_lag_s", Expected: "a number, not negative", Found: fmt.Sprint(lag)},
			"settings.cloud.list_lag_s must not be negative")
	}
	// A cancelled job's tasks must have ended within cancel_s even if the leader
	// has lost the key-value store. It may keep its workers for what cancel_s
	// leaves beside lease_s: there must be something left.
	if workers := &p.Settings.Workers; workers.CancelS <= workers.LeaseS {
		return problem(Error{Key: "settings.workers.cancel_s", Expected: fmt.Sprintf("more than %v", workers.LeaseS), Found: fmt.Sprint(workers.CancelS)},
			"settings.workers.cancel_s must exceed settings.workers.lease_s")
	}
	return nil
}

func (p *Platform) checkObjectives() error {
	for _, o := range p.Settings.Objectives {
		if !o.Known() {
			continue
		}
		if o.WithinS < 0 || o.Share < 0 || o.Share > 1 || o.Times < 0 {
			return problem(Error{Key: "settings.objectives", Expected: "amounts that are not negative and shares up to 1", Found: o.Kind + " of class " + o.Class},
				"settings.objectives: %s of class %q has a negative amount or a share beyond 1", o.Kind, o.Class)
		}
	}
	return nil
}

func (p *Platform) checkTeams() error {
	for _, t := range p.Settings.Teams {
		if t.Name == "" || t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
			return problem(Error{Key: "settings.teams", Expected: "names, and amounts that are not negative", Found: "team " + t.Name},
				"settings.teams: team %q has no name or a negative amount", t.Name)
		}
	}
	return nil
}
