// Package intern maps names to dense indices. Codecs translate names when they decode
// and encode data, so that the rest of the program works with small integers. Each
// table has its own index type, so that the compiler rejects, for example, the index
// of a machine where that of a zone is expected.
package intern

// Table maps the names of one kind of object to indices, which start at 0. The index of
// a released name is reused for a new name. The zero value is an empty table. A Table
// is not safe for concurrent use.
type Table[Index ~int] struct {
	indexByName map[string]Index
	names       []string // by index; empty if the index is free
	free        []Index  // stack of free indices
	nameBytes   int      // total length of the names
}

// bytesPerName is the estimated memory of a name in addition to its length.
const bytesPerName = 80

// EstimatedBytes returns the estimated memory of the table.
func (t *Table[Index]) EstimatedBytes() int { return t.nameBytes + bytesPerName*len(t.names) }

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
	t.nameBytes += len(name)
	return i
}

// newIndex returns a free index, adding one if there is none.
func (t *Table[Index]) newIndex() Index {
	if last := len(t.free) - 1; last >= 0 {
		i := t.free[last]
		t.free = t.free[:last]
		return i
	}
	t.names = append(t.names, "")
	return Index(len(t.names) - 1)
}

// Release removes the name of an index and frees the index for reuse. The caller must
// ensure that nothing refers to the index.
func (t *Table[Index]) Release(i Index) {
	delete(t.indexByName, t.names[i])
	t.nameBytes -= len(t.names[i])
	t.names[i] = ""
	t.free = append(t.free, i)
}

// Used reports whether an index has a name. The index must be less than Len.
func (t *Table[Index]) Used(i Index) bool {
	index, ok := t.indexByName[t.names[i]]
	return ok && index == i
}

// Lookup returns the index of a name, and whether the table has the name.
func (t *Table[Index]) Lookup(name string) (Index, bool) {
	i, ok := t.indexByName[name]
	return i, ok
}

// Name returns the name of an index that is in use.
func (t *Table[Index]) Name(i Index) string { return t.names[i] }

// Len returns the number of indices, including free ones.
func (t *Table[Index]) Len() int { return len(t.names) }
