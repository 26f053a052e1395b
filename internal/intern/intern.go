// Package intern maps names to dense indices. Codecs translate names when data
// comes in or goes out, so that the rest of the program works with small integers.
// The indices of each table are a type of their own, so that those of a machine and
// those of a zone, say, can't be taken for each other.
package intern

// Table holds the names of one kind. Indices count from 0; one whose name has been
// released is reused for another. The zero value is an empty table. A table is not
// safe for concurrent use.
type Table[Index ~int] struct {
	indexByName map[string]Index
	names       []string // by index; "" where the index is free
	free        []Index  // indices to reuse, the last first
}

// Index returns the index of a name, adding the name if it is new.
func (t *Table[Index]) Index(name string) Index {
	if i, ok := t.indexByName[name]; ok {
		return i
	}
	if t.indexByName == nil {
		t.indexByName = make(map[string]Index)
	}
	i := t.newIndex()
	t.indexByName[name] = i
	t.names[i] = name
	return i
}

// newIndex returns an index without a name.
func (t *Table[Index]) newIndex() Index {
	if last := len(t.free) - 1; last >= 0 {
		i := t.free[last]
		t.free = t.free[:last]
		return i
	}
	t.names = append(t.names, "")
	return Index(len(t.names) - 1)
}

// Release forgets the name of an index, which may be reused for another from now on.
// The caller has made sure that nothing refers to it.
func (t *Table[Index]) Release(i Index) {
	delete(t.indexByName, t.names[i])
	t.names[i] = ""
	t.free = append(t.free, i)
}

// Used reports whether an index below Len has a name.
func (t *Table[Index]) Used(i Index) bool {
	index, ok := t.indexByName[t.names[i]]
	return ok && index == i
}

// Lookup returns the index of a name, and whether the table has the name.
func (t *Table[Index]) Lookup(name string) (Index, bool) {
	i, ok := t.indexByName[name]
	return i, ok
}

// Name returns the name of an index that Index has returned.
func (t *Table[Index]) Name(i Index) string { return t.names[i] }

// Len returns the number of indices, those that are free included.
func (t *Table[Index]) Len() int { return len(t.names) }
