package pipeline

import "container/heap"

// unassignedTasks finds the unassigned task of a job with the lowest number without
// iterating over the others: each task is passed once per term, and once more each time that
// it is unassigned again.
type unassignedTasks struct {
	passed   int     // all tasks with lower numbers have been found assigned or completed
	released intHeap // passed tasks that have been unassigned since, and some that no longer are
}

// recordUnassigned records that a task may be unassigned again.
func (j *Job) recordUnassigned(task int) {
	if task < j.unassigned.passed && j.TerminalPhase == Queued {
		heap.Push(&j.unassigned.released, task)
	}
}

// NextUnassigned returns the first unassigned task whose number is at least from, or TaskCount
// if there is none. From 0 on, it takes little time however many tasks are assigned.
func (j *Job) NextUnassigned(from int) int {
	if from == 0 {
		return j.firstUnassigned()
	}
	for from < j.TaskCount && !j.Unassigned(from) {
		from++
	}
	return from
}

func (j *Job) firstUnassigned() int {
	tasks := &j.unassigned
	for len(tasks.released) > 0 {
		if lowest := tasks.released[0]; j.Unassigned(lowest) {
			return lowest // it is less than passed
		}
		heap.Pop(&tasks.released)
	}
	for tasks.passed < j.TaskCount && !j.Unassigned(tasks.passed) {
		tasks.passed++
	}
	return tasks.passed
}

// intHeap implements heap.Interface with the lowest number first.
type intHeap []int

func (h intHeap) Len() int           { return len(h) }
func (h intHeap) Less(a, b int) bool { return h[a] < h[b] }
func (h intHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

func (h *intHeap) Push(x any) { *h = append(*h, x.(int)) }

func (h *intHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
