package simtest

import (
	"fmt"
	"strconv"
	"time"
)

// Args are the arguments of a scenario's command.
type Args map[string]string

func (a Args) or(key, def string) string {
	if v, ok := a[key]; ok {
		return v
	}
	return def
}

func (a Args) num(key, def string) float64 {
	v, err := strconv.ParseFloat(a.or(key, def), 64)
	if err != nil {
		panic(fmt.Sprintf("%s=%s is not a number", key, a[key]))
	}
	return v
}

func (a Args) dur(key, def string) time.Duration {
	v, err := time.ParseDuration(a.or(key, def))
	if err != nil {
		panic(err)
	}
	return v
}

func (a Args) flag(key string) bool { _, ok := a[key]; return ok }
