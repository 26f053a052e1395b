package kv

import (
	"errors"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// ErrLeaseNotFound means that a lease has expired or was revoked.
var ErrLeaseNotFound = errors.New("lease not found")

// LeaseGrantFunc handles the result of a lease grant. If err is not nil, it is a
// *StatusError or a *DecodeError and there is no lease ID. If the store granted a
// lease nonetheless, that lease expires by itself.
type LeaseGrantFunc func(now event.Time, leaseID uint64, err error, out *event.Effects)

// LeaseRenewalFunc handles the result of a lease renewal. err is nil if the lease was
// renewed and ErrLeaseNotFound if it has ended. If err is a *StatusError, the lease
// may or may not still exist.
type LeaseRenewalFunc func(now event.Time, err error, out *event.Effects)

// GrantLease requests a new lease with the given time to live.
func (c *Client) GrantLease(now event.Time, ttl time.Duration, out *event.Effects, done LeaseGrantFunc) {
	c.send(now, grantRequest(ttl), pendingGrant{done}, out)
}

// RenewLease requests the renewal of a lease. After the timeout the request counts
// as lost.
func (c *Client) RenewLease(now event.Time, leaseID uint64, timeout time.Duration, out *event.Effects, done LeaseRenewalFunc) {
	c.send(now, renewRequest(leaseID, timeout), pendingRenewal{done}, out)
}

// RevokeLease revokes a lease. It is not retried: if the request is lost, the lease
// expires by itself.
func (c *Client) RevokeLease(now event.Time, leaseID uint64, out *event.Effects) {
	c.send(now, revokeRequest(leaseID), pendingRevocation{}, out)
}

// pendingGrant is a lease grant in flight.
type pendingGrant struct{ done LeaseGrantFunc }

func (p pendingGrant) handle(now event.Time, _ *Client, r response, out *event.Effects) {
	if err := r.err(); err != nil {
		p.done(now, 0, err, out)
		return
	}
	leaseID, err := decodeGrant(r.body)
	p.done(now, leaseID, err, out)
}

// pendingRenewal is a lease renewal in flight.
type pendingRenewal struct{ done LeaseRenewalFunc }

func (p pendingRenewal) handle(now event.Time, _ *Client, r response, out *event.Effects) {
	err := r.err()
	if r.status == httpwire.StatusNotFound {
		err = ErrLeaseNotFound
	}
	p.done(now, err, out)
}

// pendingRevocation is a lease revocation in flight.
type pendingRevocation struct{}

func (pendingRevocation) handle(event.Time, *Client, response, *event.Effects) {
	// The client ignores the response: a lease that was not revoked expires by itself.
}
