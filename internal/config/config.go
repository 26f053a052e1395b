// Package config reads and checks the platform's settings file (JSON) and the
// operators' own settings (TOML). Errors in a file are of type *Error; their text is
// one line that names the file, the key and what was expected there.
package config

import (
	"fmt"
	"os"
	"time"
)

// Load reads and checks the platform's file and, if operatorPath is not empty,
// the operators' file.
func Load(platformPath, operatorPath string) (*Platform, error) {
	raw, err := os.ReadFile(platformPath)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	p, err := Parse(raw)
	if err != nil {
		return nil, inFile("settings", platformPath, err)
	}
	if operatorPath == "" {
		return p, nil
	}
	raw, err = os.ReadFile(operatorPath)
	if err != nil {
		return nil, fmt.Errorf("operator settings: %w", err)
	}
	if p.Operator, err = ParseOperator(string(raw)); err != nil {
		return nil, inFile("operator settings", operatorPath, err)
	}
	return p, nil
}

// Seconds turns a settings value in seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
