package limiter

import (
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// Entry is a request that waits for an upstream with capacity.
type Entry struct {
	ID        string
	Workspace string
	Class     masticway.Class
	// Priority orders the entries of a workspace and class; higher ones are popped first.
	Priority int
	// Pool is the name of the pool of upstreams that the request waits for: the name of their model or service.
	Pool     string
	Deadline time.Time
}

// QueueSettings configures a Queue.
type QueueSettings struct {
	// MaxPerClass is the maximum number of entries of one class in a pool.
	MaxPerClass int
	// MaxPerWorkspace is the maximum number of entries of one workspace in a pool and class.
	MaxPerWorkspace int
	// InteractiveBurst limits how many interactive entries of a pool are popped in a row. After that many, a batch entry is
	// popped next if one is waiting.
	InteractiveBurst int
}

// classQueue holds the entries of one pool and class by workspace. workspaces lists the workspaces that have entries, in the
// order of their turns.
type classQueue struct {
	workspaces []string
	entries    map[string][]Entry
	size       int
}

// Queue holds a bounded, fair queue for each pool and class. It is not safe for concurrent use.
type Queue struct {
	settings    QueueSettings
	classQueues map[string]map[masticway.Class]*classQueue
	// interactiveStreak holds, for each pool, the number of interactive entries popped since the last batch entry was popped.
	interactiveStreak map[string]int
}

// NewQueue returns an empty queue.
func NewQueue(s QueueSettings) *Queue {
	return &Queue{settings: s, classQueues: map[string]map[masticway.Class]*classQueue{}, interactiveStreak: map[string]int{}}
}

func (q *Queue) classQueue(pool string, c masticway.Class) *classQueue {
	if q.classQueues[pool] == nil {
		q.classQueues[pool] = map[masticway.Class]*classQueue{}
	}
	l, ok := q.classQueues[pool][c]
	if !ok {
		l = &classQueue{entries: map[string][]Entry{}}
		q.classQueues[pool][c] = l
	}
	return l
}

// Push adds an entry to the queue of its pool and class, behind the entries of its workspace with the same or a higher priority.
// It returns false if the queue is full, or if the workspace has the maximum number of entries in it.
func (q *Queue) Push(e Entry) bool {
	l := q.classQueue(e.Pool, e.Class)
	waiting := l.entries[e.Workspace]
	if l.size >= q.settings.MaxPerClass || len(waiting) >= q.settings.MaxPerWorkspace {
		return false
	}
	if len(waiting) == 0 {
		l.workspaces = append(l.workspaces, e.Workspace)
	}
	i, _ := slices.BinarySearchFunc(waiting, e, func(a, b Entry) int {
		if a.Priority >= b.Priority {
			return -1
		}
		return 1
	})
	l.entries[e.Workspace] = slices.Insert(waiting, i, e)
	l.size++
	return true
}

// Pop removes and returns the next entry of a pool. Interactive entries precede batch entries. However, if InteractiveBurst or
// more interactive entries have been popped since the last batch entry, a batch entry is next. Within a class, workspaces take
// turns. Pop returns false if there is no entry.
func (q *Queue) Pop(pool string) (Entry, bool) {
	interactive := q.classQueue(pool, masticway.ClassInteractive)
	batch := q.classQueue(pool, masticway.ClassBatch)
	first, second := interactive, batch
	// A steady flow of interactive work must not starve batch work.
	if q.interactiveStreak[pool] >= q.settings.InteractiveBurst && batch.size > 0 {
		first, second = batch, interactive
	}
	l := first
	if l.size == 0 {
		l = second
	}
	e, ok := l.pop()
	if !ok {
		return Entry{}, false
	}
	if e.Class == masticway.ClassInteractive {
		q.interactiveStreak[pool]++
	} else {
		q.interactiveStreak[pool] = 0
	}
	return e, true
}

func (l *classQueue) pop() (Entry, bool) {
	if l.size == 0 {
		return Entry{}, false
	}
	w := l.workspaces[0]
	l.workspaces = l.workspaces[1:]
	waiting := l.entries[w]
	e := waiting[0]
	l.size--
	if len(waiting) == 1 {
		delete(l.entries, w)
		return e, true
	}
	l.entries[w] = waiting[1:]
	l.workspaces = append(l.workspaces, w)
	return e, true
}

// PutBack returns a popped entry to the front of its pool and class, for example if no upstream had capacity for it. It does not
// check the maximum numbers of entries. The entry still counts as popped for InteractiveBurst.
func (q *Queue) PutBack(e Entry) {
	l := q.classQueue(e.Pool, e.Class)
	l.workspaces = slices.DeleteFunc(l.workspaces, func(w string) bool { return w == e.Workspace })
	l.workspaces = slices.Insert(l.workspaces, 0, e.Workspace)
	l.entries[e.Workspace] = slices.Insert(l.entries[e.Workspace], 0, e)
	l.size++
}

// Remove removes the entry with the ID of e, for example if its caller has left. It returns false if no such entry is in the
// queue of e's workspace, pool and class.
func (q *Queue) Remove(e Entry) bool {
	l := q.classQueue(e.Pool, e.Class)
	waiting := l.entries[e.Workspace]
	i := slices.IndexFunc(waiting, func(o Entry) bool { return o.ID == e.ID })
	if i < 0 {
		return false
	}
	l.removeAt(e.Workspace, i)
	return true
}

func (l *classQueue) removeAt(workspace string, i int) {
	l.entries[workspace] = slices.Delete(l.entries[workspace], i, i+1)
	l.size--
	if len(l.entries[workspace]) > 0 {
		return
	}
	delete(l.entries, workspace)
	l.workspaces = slices.DeleteFunc(l.workspaces, func(w string) bool { return w == workspace })
}

// Expire removes the entries whose deadlines have passed and returns them in no particular order.
func (q *Queue) Expire(now time.Time) []Entry {
	var expired []Entry
	for _, classes := range q.classQueues {
		for _, l := range classes {
			for _, w := range slices.Clone(l.workspaces) {
				expired = append(expired, l.expire(now, w)...)
			}
		}
	}
	return expired
}

func (l *classQueue) expire(now time.Time, workspace string) []Entry {
	var expired []Entry
	for i := len(l.entries[workspace]) - 1; i >= 0; i-- {
		e := l.entries[workspace][i]
		if !now.Before(e.Deadline) {
			expired = append(expired, e)
			l.removeAt(workspace, i)
		}
	}
	return expired
}

// Len returns the number of queued entries of a pool and class.
func (q *Queue) Len(pool string, c masticway.Class) int { return q.classQueue(pool, c).size }
