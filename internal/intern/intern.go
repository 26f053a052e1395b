// Package intern maps names to dense indices. Codecs translate names when data
// comes in or goes out, so that the rest of the program works with small integers.
package intern

// Table holds the names of one kind. Indices count from 0; one whose name has been
// released serves another. The zero value is an empty table.
type Table struct {
	index map[string]int
	names []string // "" where the index is free
	free  []int
}

// Index returns the index of a name, adding the name if it is new.
func (t *Table) Index(name string) int {
	if i, ok := t.index[name]; ok {
		return i
	}
	if t.index == nil {
		t.index = make(map[string]int)
	}
	if last := len(t.free) - 1; last >= 0 {
		i := t.free[last]
		t.free = t.free[:last]
		t.index[name] = i
		t.names[i] = name
		return i
	}
	i := len(t.names)
	t.index[name] = i
	t.names = append(t.names, name)
	return i
}

// Release forgets a name; its index may serve another from now on. The caller has
// made sure that nothing refers to it.
func (t *Table) Release(i int) {
	delete(t.index, t.names[i])
	t.names[i] = ""
	t.free = append(t.free, i)
}

// Used tells whether an index below Len has a name.
func (t *Table) Used(i int) bool {
	name := t.names[i]
	index, ok := t.index[name]
	return ok && index == i
}

// Lookup returns the index of a name that is known.
func (t *Table) Lookup(name string) (int, bool) {
	i, ok := t.index[name]
	return i, ok
}

// Name returns the name with an index that Index has returned.
func (t *Table) Name(i int) string { return t.names[i] }

// Len returns the number of indices, those that are free included.
func (t *Table) Len() int { return len(t.names) }
