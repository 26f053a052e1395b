package event

// Statuses of a CallResult without an HTTP response.
const (
	// NoResponse is the status of a call that received no response. The request may
	// have been executed, or may still be executed later.
	NoResponse = 0
	// ResponseTooLarge is the status of a call whose response exceeds the size that
	// the engine buffers. The request was executed. Repeating the same request would
	// fail again.
	ResponseTooLarge = -1
)
