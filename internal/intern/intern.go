// Package intern maps names to dense indices. Codecs translate names when data
// comes in or goes out, so that the rest of the program works with small integers.
package intern

// Table holds the names of one kind. Indices count from 0; one whose name has been
// released is reused for another. The zero value is an empty table. A table is not
// safe for concurrent use.
type Table struct {
	indexByName map[string]int
	names       []string // by index; "" where the index is free
	free        []int    // indices to reuse, the last first
}

// Index returns the index of a name, adding the name if it is new.
func (t *Table) Index(name string) int {
	if i, ok := t.indexByName[name]; ok {
		return i
	}
	if t.indexByName == nil {
		t.indexByName = make(map[string]int)
	}
	i := t.newIndex()
	t.indexByName[name] = i
	t.names[i] = name
	return i
}

// newIndex returns an index without a name.
func (t *Table) newIndex() int {
	if last := len(t.free) - 1; last >= 0 {
		i := t.free[last]
		t.free = t.free[:last]
		return i
	}
	t.names = append(t.names, "")
	return len(t.names) - 1
}

// Release forgets the name of an index, which may be reused for another from now on.
// The caller has made sure that nothing refers to it.
func (t *Table) Release(i int) {
	delete(t.indexByName, t.names[i])
	t.names[i] = ""
	t.free = append(t.free, i)
}

// Used reports whether an index below Len has a name.
func (t *Table) Used(i int) bool {
	index, ok := t.indexByName[t.names[i]]
	return ok && index == i
}

// Lookup returns the index of a name, and whether the table has the name.
func (t *Table) Lookup(name string) (int, bool) {
	i, ok := t.indexByName[name]
	return i, ok
}

// Name returns the name of an index that Index has returned.
func (t *Table) Name(i int) string { return t.names[i] }

// Len returns the number of indices, those that are free included.
func (t *Table) Len() int { return len(t.names) }
