package event

// Statuses of a CallResult that stand for the lack of a response.
const (
	// NoResponse is the status of a call that got no response. The request may
	// have been executed, or may be executed later.
	NoResponse = 0
	// ResponseTooLarge is the status of a call whose response exceeds what the
	// engine buffers. The request was executed; asking the same again would fail
	// again.
	ResponseTooLarge = -1
)
