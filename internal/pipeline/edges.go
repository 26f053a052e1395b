package pipeline

import (
	"iter"
	"slices"
)

// edges holds the edges between held jobs and their upstream jobs. A submission may name
// thousands of upstream jobs, so an edge is stored as two numbers: the vertex of the upstream
// job in the list of the held job, and the link of the held job in the list of the upstream
// job.
type edges struct {
	byID         map[string]vertexIndex
	vertices     []vertex
	freeVertices []vertexIndex
	links        []link
	freeLinks    []linkIndex

	references int // number of entries in all lists of upstream jobs
	entries    int // number of entries in all lists of dependents
}

// vertexIndex identifies a job that lists of upstream jobs name.
type vertexIndex uint32

// vertex is a job that lists of upstream jobs name. It is removed with the last reference.
type vertex struct {
	id         string
	references int         // entries in lists of upstream jobs
	dependents []linkIndex // held jobs that wait for the job, and some that no longer do
	stale      int         // upper bound on the number of dependents that no longer wait
}

// linkIndex identifies a held job in lists of dependents. A job that is linked again gets
// another one. It is reused once no list contains it.
type linkIndex uint32

// link is a held job that is linked.
type link struct {
	job     *Job // nil once the job is no longer linked
	entries int  // number of lists of dependents that contain the link
}

// dependentsGrowth divides the length of a full list of dependents to get the number of
// entries that are added to its capacity. Doubling it would waste memory.
const dependentsGrowth = 8

// minDependentsGrowth is the least number of entries that are added to the capacity.
const minDependentsGrowth = 2

func newEdges() edges { return edges{byID: map[string]vertexIndex{}} }

// acquire returns the vertices of a list of IDs and adds a reference to each.
func (e *edges) acquire(ids []string) []vertexIndex {
	if len(ids) == 0 {
		return nil
	}
	list := make([]vertexIndex, len(ids))
	for i, id := range ids {
		list[i] = e.vertexOf(id)
		e.vertices[list[i]].references++
	}
	e.references += len(list)
	return list
}

// vertexOf returns the vertex of an ID, which it adds if there is none.
func (e *edges) vertexOf(id string) vertexIndex {
	if index, ok := e.byID[id]; ok {
		return index
	}
	index := vertexIndex(len(e.vertices))
	if last := len(e.freeVertices) - 1; last >= 0 {
		index = e.freeVertices[last]
		e.freeVertices = e.freeVertices[:last]
		e.vertices[index] = vertex{id: id}
	} else {
		e.vertices = append(e.vertices, vertex{id: id})
	}
	e.byID[id] = index
	return index
}

// release removes the references of a list that acquire returned.
func (e *edges) release(list []vertexIndex) {
	e.references -= len(list)
	for _, index := range list {
		vertex := &e.vertices[index]
		vertex.references--
		if vertex.references > 0 {
			continue
		}
		e.dropDependents(vertex)
		delete(e.byID, vertex.id)
		vertex.id = ""
		e.freeVertices = append(e.freeVertices, index)
	}
}

// id returns the ID of a vertex.
func (e *edges) id(index vertexIndex) string { return e.vertices[index].id }

// newLink returns a link of a job without entries.
func (e *edges) newLink(job *Job) linkIndex {
	if last := len(e.freeLinks) - 1; last >= 0 {
		index := e.freeLinks[last]
		e.freeLinks = e.freeLinks[:last]
		e.links[index].job = job
		return index
	}
	e.links = append(e.links, link{job: job})
	return linkIndex(len(e.links) - 1)
}

// addDependent adds a link to the dependents of a vertex.
func (e *edges) addDependent(index vertexIndex, dependent linkIndex) {
	vertex := &e.vertices[index]
	if len(vertex.dependents) == cap(vertex.dependents) {
		vertex.dependents = slices.Concat(vertex.dependents, make([]linkIndex, len(vertex.dependents)/dependentsGrowth+minDependentsGrowth))[:len(vertex.dependents)]
	}
	vertex.dependents = append(vertex.dependents, dependent)
	e.links[dependent].entries++
	e.entries++
}

// endLink ends a link. upstream are the vertices of the job's list. The entries of the link
// are removed from a list of dependents once half of it may have ended, so that ending a link
// takes constant time for each vertex on average.
func (e *edges) endLink(ended linkIndex, upstream []vertexIndex) {
	e.links[ended].job = nil
	if e.links[ended].entries == 0 {
		e.freeLinks = append(e.freeLinks, ended)
		return
	}
	for _, index := range upstream {
		vertex := &e.vertices[index]
		if len(vertex.dependents) == 0 {
			continue
		}
		vertex.stale++
		if 2*vertex.stale >= len(vertex.dependents) {
			e.compactDependents(vertex)
		}
	}
}

// compactDependents removes the dependents of a vertex that no longer wait.
func (e *edges) compactDependents(vertex *vertex) {
	waiting := vertex.dependents[:0]
	for _, index := range vertex.dependents {
		if e.links[index].job == nil {
			e.dropEntry(index)
			continue
		}
		waiting = append(waiting, index)
	}
	vertex.stale = 0
	vertex.dependents = slices.Clone(waiting)
}

// dropEntry records that a list of dependents no longer contains a link.
func (e *edges) dropEntry(index linkIndex) {
	link := &e.links[index]
	link.entries--
	e.entries--
	if link.entries == 0 && link.job == nil {
		e.freeLinks = append(e.freeLinks, index)
	}
}

// dropDependents empties the list of dependents of a vertex.
func (e *edges) dropDependents(vertex *vertex) {
	for _, index := range vertex.dependents {
		e.dropEntry(index)
	}
	vertex.dependents = nil
	vertex.stale = 0
}

// dependents returns an iterator over the held jobs that wait for a job. The edges must not
// change during the iteration.
func (e *edges) dependents(id string) iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		index, ok := e.byID[id]
		if !ok {
			return
		}
		for _, dependent := range e.vertices[index].dependents {
			if job := e.links[dependent].job; job != nil && !yield(job) {
				return
			}
		}
	}
}

// hasDependents reports whether held jobs wait for a job.
func (e *edges) hasDependents(id string) bool {
	for range e.dependents(id) {
		return true
	}
	return false
}

// takeDependents returns the held jobs that wait for a job and removes them from its list. A
// job is listed once for each time that its list names the upstream job.
func (e *edges) takeDependents(id string) []*Job {
	index, ok := e.byID[id]
	if !ok {
		return nil
	}
	jobs := slices.Collect(e.dependents(id))
	e.dropDependents(&e.vertices[index])
	return jobs
}
