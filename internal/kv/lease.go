package kv

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

const leasesPath = "/leases"

// LeaseGrantFunc receives the ID of a granted lease, or 0 if none was granted.
type LeaseGrantFunc func(now event.Time, leaseID uint64, out *event.Effects)

// LeaseRenewalFunc receives the HTTP status of a lease's renewal; 0 means no answer.
type LeaseRenewalFunc func(now event.Time, status int, out *event.Effects)

// GrantLease asks for a new lease of the given duration.
func (c *Client) GrantLease(duration time.Duration, now event.Time, out *event.Effects, done LeaseGrantFunc) {
	body := fmt.Appendf(nil, `{"life_ms":%d}`, duration.Milliseconds())
	c.send(call{method: "POST", path: leasesPath, body: body, timeout: callTimeout}, leaseGrant{done}, now, out)
}

// RenewLease renews a lease.
func (c *Client) RenewLease(leaseID uint64, timeout time.Duration, now event.Time, out *event.Effects, done LeaseRenewalFunc) {
	path := leasePath(leaseID) + "/extend"
	c.send(call{method: "POST", path: path, timeout: timeout}, leaseExtension{done}, now, out)
}

// RevokeLease ends a lease at once. A lease whose Drop gets lost ends by itself.
func (c *Client) RevokeLease(leaseID uint64, now event.Time, out *event.Effects) {
	c.send(call{method: "DELETE", path: leasePath(leaseID), timeout: callTimeout}, leaseDrop{}, now, out)
}

func leasePath(leaseID uint64) string {
	return leasesPath + "/" + strconv.FormatUint(leaseID, 10)
}

// leaseGrant is a pending request for a new lease.
type leaseGrant struct{ done LeaseGrantFunc }

func (g leaseGrant) answered(_ *Client, now event.Time, r response, out *event.Effects) {
	var granted struct {
		LeaseID uint64 `json:"tether"`
	}
	if r.status != httpwire.StatusOK || json.Unmarshal(r.body, &granted) != nil {
		granted.LeaseID = 0
	}
	g.done(now, granted.LeaseID, out)
}

// leaseExtension is a pending renewal of a lease.
type leaseExtension struct{ done LeaseRenewalFunc }

func (e leaseExtension) answered(_ *Client, now event.Time, r response, out *event.Effects) {
	e.done(now, r.status, out)
}

// leaseDrop is a pending end of a lease. Its answer changes nothing.
type leaseDrop struct{}

func (leaseDrop) answered(*Client, event.Time, response, *event.Effects) {}
