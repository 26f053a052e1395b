// Package intern maps names to dense indices at the door, so that the rest of
// the program works with small integers.
package intern

// Table interns names of one kind. The zero value is ready to use.
type Table struct {
	index map[string]int
	names []string
}

// Index returns the index of name, giving it the next free one when new.
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

// Lookup returns the index of name without adding it.
func (t *Table) Lookup(name string) (int, bool) {
	i, ok := t.index[name]
	return i, ok
}

// Name returns the name with index i.
func (t *Table) Name(i int) string { return t.names[i] }

// Len returns the number of names known.
func (t *Table) Len() int { return len(t.names) }
