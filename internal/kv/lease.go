package kv

import (
	"errors"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// ErrLeaseNotFound means that a lease has expired or was revoked.
var ErrLeaseNotFound = errors.New("lease not found")

// LeaseGrantFunc receives the ID of a granted lease. If err is not nil (a
// *StatusError or a *DecodeError) there is none; a lease that was granted all the
// same expires by itself.
type LeaseGrantFunc func(now event.Time, leaseID uint64, err error, out *event.Effects)

// LeaseRenewalFunc receives the result of a lease's renewal: nil if it was
// renewed, ErrLeaseNotFound if it has ended, or a *StatusError; after the latter
// it may be alive or not.
type LeaseRenewalFunc func(now event.Time, err error, out *event.Effects)

// GrantLease asks for a new lease with the given time to live.
func (c *Client) GrantLease(now event.Time, ttl time.Duration, out *event.Effects, done LeaseGrantFunc) {
	c.send(now, grantRequest(ttl), pendingGrant{done}, out)
}

// RenewLease asks for the renewal of a lease. The request counts as lost after
// the timeout.
func (c *Client) RenewLease(now event.Time, leaseID uint64, timeout time.Duration, out *event.Effects, done LeaseRenewalFunc) {
	c.send(now, renewRequest(leaseID, timeout), pendingRenewal{done}, out)
}

// RevokeLease ends a lease at once. It is not retried: if the request is lost,
// the lease expires by itself.
func (c *Client) RevokeLease(now event.Time, leaseID uint64, out *event.Effects) {
	c.send(now, revokeRequest(leaseID), pendingRevocation{}, out)
}

// pendingGrant is a request for a new lease in flight.
type pendingGrant struct{ done LeaseGrantFunc }

func (p pendingGrant) handle(now event.Time, _ *Client, r response, out *event.Effects) {
	if err := r.err(); err != nil {
		p.done(now, 0, err, out)
		return
	}
	leaseID, err := decodeGrant(r.body)
	p.done(now, leaseID, err, out)
}

// pendingRenewal is the renewal of a lease in flight.
type pendingRenewal struct{ done LeaseRenewalFunc }

func (p pendingRenewal) handle(now event.Time, _ *Client, r response, out *event.Effects) {
	err := r.err()
	if r.status == httpwire.StatusNotFound {
		err = ErrLeaseNotFound
	}
	p.done(now, err, out)
}

// pendingRevocation is the revocation of a lease in flight.
type pendingRevocation struct{}

func (pendingRevocation) handle(event.Time, *Client, response, *event.Effects) {
	// Nothing rests on the response.
}
