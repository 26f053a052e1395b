package intern

import "testing"

// TestTable: indices count from 0, stay with their names, and Lookup adds none.
func TestTable(t *testing.T) {
	var table Table[int]
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

// TestRelease: a released name's index serves the next new name, and the name gets an index like
// any other when it comes again.
func TestRelease(t *testing.T) {
	var names Table[int]
	for _, name := range []string{"a", "b", "c"} {
		names.Index(name)
	}
	names.Release(1)
	if _, ok := names.Lookup("b"); ok || names.Used(1) || !names.Used(2) {
		t.Error("a released name is still known")
	}
	if d, b := names.Index("d"), names.Index("b"); d != 1 || b != 3 || names.Name(1) != "d" || names.Len() != 4 {
		t.Errorf("d has %d, b %d of %d", d, b, names.Len())
	}
}
