package engine

import "lugward/internal/httpwire"

// Clients may send requests slowly, or the next one before the reply to the last. Their input is
// buffered meanwhile, up to the size of a request on each connection, which would exceed the
// memory of the process on thousands of connections. Config.MaxUnreadBytes limits it. A client
// whose input exceeds the limit gets 503 or is disconnected; requests that arrive as a whole are
// not affected.

// unreadRetryAfter is the Retry-After of requests that exceed MaxUnreadBytes, in seconds.
const unreadRetryAfter = 1

// setUnread records the size of the buffered input of a client.
func (e *engine) setUnread(c *connection, bytes int) {
	e.sockets.unreadBytes += bytes - c.unreadBytes
	c.unreadBytes = bytes
}

// fitsUnread records the buffered input of a client, and reports whether that of all clients is
// within the limit.
func (e *engine) fitsUnread(c *connection) bool {
	e.setUnread(c, c.socket.InboundBuffered())
	return e.cfg.MaxUnreadBytes == 0 || e.sockets.unreadBytes <= e.cfg.MaxUnreadBytes
}

// rejectUnread replies to a request that is too large to be buffered now, and closes the
// connection, as the rest of the request may follow.
func (e *engine) rejectUnread(c *connection) {
	e.setUnread(c, 0)
	response := httpwire.Response{Status: httpwire.StatusServiceUnavailable, RetryAfter: unreadRetryAfter, Close: true}
	c.send(httpwire.AppendResponse(nil, response))
	e.closeConnection(c)
}
