package intern

import "testing"

// TestTable: indices count from 0, stay with their names, and Lookup adds none.
func TestTable(t *testing.T) {
	var table Table
	if _, ok := table.Lookup("a"); ok || table.Len() != 0 {
		t.Fatal("an empty table knows a name")
	}
	for want, name := range []string{"a", "b"} {
		for range 2 {
			if i := table.Index(name); i != want || table.Name(i) != name {
				t.Errorf("%s has index %d, want %d", name, i, want)
			}
		}
	}
	if i, ok := table.Lookup("b"); !ok || i != 1 {
		t.Errorf("b is found at %d (%v)", i, ok)
	}
	if _, ok := table.Lookup("c"); ok || table.Len() != 2 {
		t.Error("a name was added by Lookup")
	}
}
