package httpwire

// The HTTP status codes that lugward sends or handles. Using the constants of net/http
// would link the whole package into the program.
const (
	StatusOK                   = 200
	StatusCreated              = 201
	StatusBadRequest           = 400
	StatusNotFound             = 404
	StatusMethodNotAllowed     = 405
	StatusConflict             = 409
	StatusGone                 = 410
	StatusContentTooLarge      = 413
	StatusMisdirectedRequest   = 421
	StatusUnprocessableContent = 422
	StatusTooManyRequests      = 429
	StatusServiceUnavailable   = 503
)

// reasonPhrases maps the status codes that lugward sends to their reason phrases.
var reasonPhrases = map[int]string{
	StatusOK:                   "OK",
	StatusCreated:              "Created",
	StatusBadRequest:           "Bad Request",
	StatusNotFound:             "Not Found",
	StatusMethodNotAllowed:     "Method Not Allowed",
	StatusContentTooLarge:      "Content Too Large",
	StatusMisdirectedRequest:   "Misdirected Request",
	StatusUnprocessableContent: "Unprocessable Content",
	StatusTooManyRequests:      "Too Many Requests",
	StatusServiceUnavailable:   "Service Unavailable",
}
