package autoscaler

import (
	"errors"
	"testing"

	"lugward/internal/jsonwire"
)

// decodeMachineTypes returns either the whole list of machine types or no machine type
// and an error that identifies the cause.
func TestDecodeMachineTypes(t *testing.T) {
	for _, test := range []struct {
		name         string
		data         string
		invalidField string // field of the expected invalidMachineTypeError
		empty        bool   // errNoMachineTypes is expected
		malformed    bool   // an error of package json is expected
	}{
		{name: "valid", data: `{"flavors":[{"name":"small","cores":4,"price":1}]}`},
		{name: "malformed", data: `{"flavors":[{"name":"small","cores":4,"price":1}]`, malformed: true},
		{name: "empty", data: `{"flavors":[]}`, empty: true},
		{name: "no list", data: `{}`, empty: true},
		{name: "no name", data: `{"flavors":[{"cores":4,"price":1}]}`, invalidField: "name"},
		{name: "negative CPUs", data: `{"flavors":[{"name":"small","cores":-1,"price":1}]}`, invalidField: "cores"},
		{name: "negative price", data: `{"flavors":[{"name":"small","cores":4,"price":-1}]}`, invalidField: "price"},
		{name: "one of two invalid", data: `{"flavors":[{"name":"a"},{"name":"b","cores":-1}]}`, invalidField: "cores"},
	} {
		t.Run(test.name, func(t *testing.T) {
			list, err := decodeMachineTypes([]byte(test.data))
			wantError := test.malformed || test.empty || test.invalidField != ""
			if (err != nil) != wantError {
				t.Fatalf("decodeMachineTypes returned error %v, want an error: %t", err, wantError)
			}
			if (len(list.MachineTypes) == 0) != wantError {
				t.Errorf("decodeMachineTypes returned %d machine types with error %v, want none: %t", len(list.MachineTypes), err, wantError)
			}
			if got := errors.Is(err, errNoMachineTypes); got != test.empty {
				t.Errorf("decodeMachineTypes returned error %v, want errNoMachineTypes: %t", err, test.empty)
			}
			var syntax *jsonwire.SyntaxError
			if got := errors.As(err, &syntax); got != test.malformed {
				t.Errorf("decodeMachineTypes returned error %v, want a *jsonwire.SyntaxError: %t", err, test.malformed)
			}
			var invalid *invalidMachineTypeError
			if errors.As(err, &invalid); invalid != nil && invalid.field != test.invalidField || invalid == nil && test.invalidField != "" {
				t.Errorf("decodeMachineTypes returned error %v, want invalid field %q", err, test.invalidField)
			}
		})
	}
}
