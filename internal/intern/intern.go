// Package intern maps names to dense indices. Codecs translate names when data
// comes in or goes out, so that the rest of the program works with small integers.
package intern

// Table holds the names of one kind. Indices count from 0 and are never freed.
// The zero value is an empty table.
type Table struct {
	index map[string]int
	names []string
}

// Index returns the index of a name, adding the name if it is new.
func (t *Table) Index(name string) int {
	if i, ok := t.index[name]; ok {
		return i
	}
	if t.index == nil {
		t.index = make(map[string]int)
	}
	i := len(t.names)
	t.index[name] = i
	t.names = append(t.names, name)
	return i
}

// Lookup returns the index of a name that is known.
func (t *Table) Lookup(name string) (int, bool) {
	i, ok := t.index[name]
	return i, ok
}

// Name returns the name with an index that Index has returned.
func (t *Table) Name(i int) string { return t.names[i] }

// Len returns the number of names.
func (t *Table) Len() int { return len(t.names) }
