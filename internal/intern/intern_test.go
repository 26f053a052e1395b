package intern

import "testing"

// TestTable checks that indices start at 0 and stay assigned to their names, and that
// Lookup does not add a name.
func TestTable(t *testing.T) {
	var table Table[int]
	if _, ok := table.Lookup("a"); ok || table.Len() != 0 {
		t.Fatalf("empty table: Lookup(a) reported %v, Len = %d, want false, 0", ok, table.Len())
	}
	for want, name := range []string{"a", "b"} {
		for range 2 {
			if i := table.Index(name); i != want || table.Name(i) != name {
				t.Errorf("Index(%s) = %d with name %q, want %d", name, i, table.Name(i), want)
			}
		}
	}
	if i, ok := table.Lookup("b"); !ok || i != 1 {
		t.Errorf("Lookup(b) = %d, %v, want 1, true", i, ok)
	}
	if _, ok := table.Lookup("c"); ok || table.Len() != 2 {
		t.Errorf("Lookup(c) reported %v, Len = %d, want false, 2", ok, table.Len())
	}
}

// TestRelease checks that the next new name reuses the index of a released name, and that the
// released name is treated as a new name when it is added again.
func TestRelease(t *testing.T) {
	var names Table[int]
	for _, name := range []string{"a", "b", "c"} {
		names.Index(name)
	}
	names.Release(1)
	if _, ok := names.Lookup("b"); ok || names.Used(1) || !names.Used(2) {
		t.Errorf("after Release(1): Lookup(b) reported %v, Used(1) = %v, Used(2) = %v, want false, false, true", ok, names.Used(1), names.Used(2))
	}
	if d, b := names.Index("d"), names.Index("b"); d != 1 || b != 3 || names.Name(1) != "d" || names.Len() != 4 {
		t.Errorf("Index(d) = %d, Index(b) = %d, Name(1) = %q, Len = %d, want 1, 3, d, 4", d, b, names.Name(1), names.Len())
	}
}
