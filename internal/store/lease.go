package store

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"lugward/internal/event"
)

// Lease sends a request for a new lease, Extend and Drop work on one.
func (c *Client) Lease(life time.Duration, now event.Time, out *event.Effects, done func(now event.Time, leaseID uint64, out *event.Effects)) {
	body := fmt.Appendf(nil, `{"life_ms":%d}`, life.Milliseconds())
	c.call("POST", "/leases", body, callTimeout, now, out, func(now event.Time, status int, body []byte, out *event.Effects) {
		var v struct {
			LeaseID uint64 `json:"tether"`
		}
		if status != 200 || json.Unmarshal(body, &v) != nil {
			v.LeaseID = 0
		}
		done(now, v.LeaseID, out)
	})
}

// Extend renews a lease; done gets the status.
func (c *Client) Extend(leaseID uint64, timeout time.Duration, now event.Time, out *event.Effects, done func(now event.Time, status int, out *event.Effects)) {
	c.call("POST", "/leases/"+strconv.FormatUint(leaseID, 10)+"/extend", nil, timeout, now, out,
		func(now event.Time, status int, _ []byte, out *event.Effects) { done(now, status, out) })
}

// Drop ends a lease at once.
func (c *Client) Drop(leaseID uint64, now event.Time, out *event.Effects) {
	c.call("DELETE", "/leases/"+strconv.FormatUint(leaseID, 10), nil, callTimeout, now, out,
		func(event.Time, int, []byte, *event.Effects) {})
}
