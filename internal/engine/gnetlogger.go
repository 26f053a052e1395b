package engine

import (
	"fmt"
	"log/slog"
)

// gnetLog takes gnet's own messages: errors become debug messages, as broken
// connections are ordinary; what is less is dropped.
type gnetLog struct{}

// Debugf drops a message.
func (gnetLog) Debugf(string, ...any) {}

// Infof drops a message.
func (gnetLog) Infof(string, ...any) {}

// Warnf drops a message.
func (gnetLog) Warnf(string, ...any) {}

// Errorf logs an error of gnet.
func (gnetLog) Errorf(format string, args ...any) {
	slog.Debug("gnet", "msg", fmt.Sprintf(format, args...))
}

// Fatalf logs an error that ends gnet.
func (gnetLog) Fatalf(format string, args ...any) {
	slog.Error("gnet", "msg", fmt.Sprintf(format, args...))
}
