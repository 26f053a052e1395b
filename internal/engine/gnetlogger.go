package engine

import (
	"fmt"
	"log/slog"
)

// gnetLogger forwards gnet's own messages to the controller's log. gnet's errors are
// logged at debug level, since broken connections are normal. Messages of lower
// levels are discarded.
type gnetLogger struct{ log *slog.Logger }

// Debugf discards the message.
func (gnetLogger) Debugf(string, ...any) {}

// Infof discards the message.
func (gnetLogger) Infof(string, ...any) {}

// Warnf discards the message.
func (gnetLogger) Warnf(string, ...any) {}

// Errorf logs a gnet error at debug level.
func (l gnetLogger) Errorf(format string, args ...any) {
	l.log.Debug("gnet error", "error", fmt.Sprintf(format, args...))
}

// Fatalf logs an error that stops gnet.
func (l gnetLogger) Fatalf(format string, args ...any) {
	l.log.Error("fatal gnet error", "error", fmt.Sprintf(format, args...))
}
