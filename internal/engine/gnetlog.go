package engine

import (
	"fmt"
	"log/slog"
)

// quiet keeps gnet's own messages out of our log, errors excepted.
type quiet struct{}

func (quiet) Debugf(string, ...any) {}

func (quiet) Infof(string, ...any) {}

func (quiet) Warnf(string, ...any) {}

func (quiet) Errorf(f string, a ...any) {
	slog.Debug("gnet", "msg", fmt.Sprintf(f, a...))
}

func (quiet) Fatalf(f string, a ...any) {
	slog.Error("gnet", "msg", fmt.Sprintf(f, a...))
}
