// Package config reads and validates the platform's settings file (JSON) and the
// operators' settings file (TOML). An error in the content of a file is of type *Error.
// Its text is a single line that names the file, the key and the expected value.
package config

import (
	"fmt"
	"os"
	"time"
)

// Load reads and validates the platform's settings file and, if operatorPath is not
// empty, the operators' settings file.
func Load(platformPath, operatorPath string) (*Platform, error) {
	raw, err := os.ReadFile(platformPath)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	p, err := Parse(raw)
	if err != nil {
		return nil, withFile("settings", platformPath, err)
	}
	if operatorPath == "" {
		return p, nil
	}
	raw, err = os.ReadFile(operatorPath)
	if err != nil {
		return nil, fmt.Errorf("operator settings: %w", err)
	}
	if p.Operator, err = ParseOperator(string(raw)); err != nil {
		return nil, withFile("operator settings", operatorPath, err)
	}
	return p, nil
}

// Seconds converts a settings value in seconds to a time.Duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
