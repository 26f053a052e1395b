package engine

import (
	"fmt"
	"log/slog"
)

// gnetLogger takes gnet's own messages: errors become debug messages, as broken
// connections are ordinary; what is less is dropped.
type gnetLogger struct{ log *slog.Logger }

// Debugf drops a message.
func (gnetLogger) Debugf(string, ...any) {}

// Infof drops a message.
func (gnetLogger) Infof(string, ...any) {}

// Warnf drops a message.
func (gnetLogger) Warnf(string, ...any) {}

// Errorf logs an error of gnet.
func (l gnetLogger) Errorf(format string, args ...any) {
	l.log.Debug("error of gnet", "error", fmt.Sprintf(format, args...))
}

// Fatalf logs an error that ends gnet.
func (l gnetLogger) Fatalf(format string, args ...any) {
	l.log.Error("fatal error of gnet", "error", fmt.Sprintf(format, args...))
}
