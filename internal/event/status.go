package event

// HTTP status codes of replies and calls. The standard library's own would
// link its whole HTTP stack into the program.
const (
	// NoResponse stands for the status of a call that got no response.
	NoResponse = 0
	// ResponseTooLarge stands for the status of a call whose response exceeds what
	// we buffer. The request was carried out; asking the same again would fail again.
	ResponseTooLarge = -1

	StatusOK                 = 200
	StatusBadRequest         = 400
	StatusNotFound           = 404
	StatusMethodNotAllowed   = 405
	StatusMisdirected        = 421
	StatusServiceUnavailable = 503
)
