package scheduler_test

import (
	"container/list"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

const (
	// engineSlots and engineMemory are the concurrent requests of an engine and the tokens that it holds for them and for cached
	// prompt parts.
	engineSlots  = 64
	engineMemory = 354_798
	// stepTime is the duration of an engine step in milliseconds at speed 1. Each running stream adds stepTimePerRun.
	stepTime       = 6.35
	stepTimePerRun = 0.08
	// chunkTokens is the largest number of prompt tokens that one step prefills.
	chunkTokens = 1024
	// prefillSpeed is the number of prompt tokens that an engine of speed 1 prefills in a millisecond.
	prefillSpeed   = 42.8
	tokensPerEvent = 3
)

// job is one request at an engine.
type job struct {
	req *request
	// pinned is the number of leading parts that the job holds in the cache, and occupied the tokens of memory that it takes
	// besides them.
	pinned, occupied int
	// remaining is the number of prompt tokens to prefill. It is valid once started is set.
	remaining int
	started   bool
	// scheduled is set when the last prompt tokens are in the current step, and streaming after that step.
	scheduled, streaming bool
	// generated is the number of tokens of the answer.
	generated int
	cancelled bool
}

// cachedPart is a prompt part in the memory of an engine.
type cachedPart struct {
	part masticway.PromptPart
	// users is the number of jobs that hold the part. Only parts without users are in the list of evictable parts.
	users   int
	element *list.Element
}

// engineModel is one engine with continuous batching: each step gives every stream a token and prefills at most one chunk of
// waiting prompts in the order of urgency and arrival.
type engineModel struct {
	w      *world
	server masticway.Server
	// speed is the speed relative to a normal engine. It applies to steps and to prefill.
	speed float64
	// queue holds the jobs without a slot, batch those with one, and prefills those of batch whose prompt is not prefilled yet.
	queue, batch, prefills []*job
	stepping               bool
	cache                  map[string]*cachedPart
	evictable              *list.List
	used                   int
	// steps, busy and prefilled are the number of steps, the time spent in them and the prompt tokens prefilled.
	steps     int
	busy      time.Duration
	prefilled int
}

func newEngineModel(w *world, s masticway.Server, speed float64) *engineModel {
	return &engineModel{w: w, server: s, speed: speed, cache: map[string]*cachedPart{}, evictable: list.New()}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// add queues a request.
func (e *engineModel) add(r *request) {
	r.job = &job{req: r}
	e.queue = insertByUrgency(e.queue, r.job)
	e.start()
}

// insertByUrgency inserts a job behind those that are as urgent or have started.
func insertByUrgency(jobs []*job, j *job) []*job {
	i := len(jobs)
	for i > 0 && !jobs[i-1].started && jobs[i-1].req.urgency > j.req.urgency {
		i--
	}
	return slices.Insert(jobs, i, j)
}

// cancel ends a request whose router has died.
func (e *engineModel) cancel(r *request) {
	if r.job != nil {
		r.job.cancelled = true
	}
}

// start begins a step, if the engine is idle and has work.
func (e *engineModel) start() {
	if e.stepping {
		return
	}
	e.dropCancelled()
	e.admit()
	if len(e.batch) == 0 {
		return
	}
	e.stepping = true
	streams := 0
	for _, j := range e.batch {
		if j.streaming {
			streams++
		}
	}
	chunk := e.schedulePrefill()
	d := milliseconds((stepTime + stepTimePerRun*float64(streams) + float64(chunk)/prefillSpeed) / e.speed)
	e.steps++
	e.busy += d
	e.prefilled += chunk
	e.w.after(d, e.finishStep)
}

func (e *engineModel) dropCancelled() {
	for _, jobs := range []*[]*job{&e.queue, &e.batch, &e.prefills} {
		kept := (*jobs)[:0]
		for _, j := range *jobs {
			if !j.cancelled {
				kept = append(kept, j)
			} else if jobs == &e.batch {
				e.release(j)
			}
		}
		*jobs = kept
	}
}

// admit gives slots to queued jobs while there are slots and memory.
func (e *engineModel) admit() {
	for len(e.queue) > 0 && len(e.batch) < engineSlots {
		j := e.queue[0]
		e.pin(j)
		j.occupied = j.req.tokens + j.req.output() - j.req.tokensOfParts(0, j.pinned)
		if !e.makeRoom(j.occupied) {
			e.unpin(j)
			return
		}
		e.used += j.occupied
		e.queue = e.queue[1:]
		e.batch = append(e.batch, j)
		e.prefills = insertByUrgency(e.prefills, j)
	}
}

// makeRoom evicts least recently used parts until there is room for a number of tokens.
func (e *engineModel) makeRoom(tokens int) bool {
	for e.used+tokens > engineMemory {
		oldest := e.evictable.Front()
		if oldest == nil {
			return false
		}
		c := oldest.Value.(*cachedPart)
		e.evictable.Remove(oldest)
		delete(e.cache, c.part.ID)
		e.used -= c.part.Tokens
	}
	return true
}

// pin holds the cached leading parts of a job that it does not hold yet.
func (e *engineModel) pin(j *job) {
	for j.pinned < len(j.req.parts) {
		c, ok := e.cache[j.req.parts[j.pinned].ID]
		if !ok {
			return
		}
		if c.users == 0 {
			e.evictable.Remove(c.element)
		}
		c.users++
		j.pinned++
	}
}

// unpin returns the parts that a job holds. The last parts become evictable first, because a part is useless without those
// before it.
func (e *engineModel) unpin(j *job) {
	for ; j.pinned > 0; j.pinned-- {
		c := e.cache[j.req.parts[j.pinned-1].ID]
		c.users--
		if c.users == 0 {
			c.element = e.evictable.PushBack(c)
		}
	}
}

// release frees the memory of a job.
func (e *engineModel) release(j *job) {
	e.unpin(j)
	e.used -= j.occupied
	j.occupied = 0
}

// schedulePrefill takes the prompt tokens of the next step, and returns their number.
func (e *engineModel) schedulePrefill() int {
	chunk := 0
	for len(e.prefills) > 0 && chunk < chunkTokens {
		j := e.prefills[0]
		if !j.started {
			e.beginPrefill(j)
		}
		n := min(j.remaining, chunkTokens-chunk)
		j.remaining -= n
		chunk += n
		if j.remaining > 0 {
			break
		}
		j.scheduled = true
		e.prefills = e.prefills[1:]
		e.store(j)
	}
	return chunk
}

// beginPrefill determines which tokens of a prompt are not cached. Other jobs may have prefilled parts since the job got its slot.
func (e *engineModel) beginPrefill(j *job) {
	before := j.pinned
	e.pin(j)
	freed := j.req.tokensOfParts(before, j.pinned)
	j.occupied -= freed
	e.used -= freed
	j.started = true
	// The last token of a prompt is always computed, because its result is the first token of the answer.
	j.remaining = max(1, j.req.tokens-j.req.tokensOfParts(0, j.pinned))
	e.w.recordPrefill(j.req, j.pinned)
}

// store moves the prefilled parts of a job into the cache.
func (e *engineModel) store(j *job) {
	for j.pinned < len(j.req.parts) {
		p := j.req.parts[j.pinned]
		if e.cache[p.ID] != nil {
			e.pin(j)
			continue
		}
		e.cache[p.ID] = &cachedPart{part: p, users: 1}
		j.occupied -= p.Tokens
		j.pinned++
	}
}

func (e *engineModel) finishStep() {
	e.stepping = false
	kept := e.batch[:0]
	for _, j := range e.batch {
		if j.scheduled {
			j.scheduled, j.streaming = false, true
		}
		if !j.streaming {
			kept = append(kept, j)
			continue
		}
		j.generated++
		ended := j.generated == j.req.output()
		if !j.cancelled && (ended || j.generated%tokensPerEvent == 0) {
			e.w.recordEvent(j.req, ended)
		}
		if ended {
			e.release(j)
		} else {
			kept = append(kept, j)
		}
	}
	e.batch = kept
	e.start()
}

// pendingTokens returns the prompt tokens that the engine still has to prefill for the requests that it has.
func (e *engineModel) pendingTokens() int {
	n := 0
	for _, j := range e.prefills {
		n += e.remainingTokens(j)
	}
	for _, j := range e.queue {
		n += e.remainingTokens(j)
	}
	return n
}

func (e *engineModel) remainingTokens(j *job) int {
	if j.started {
		return j.remaining
	}
	return e.uncachedTokens(j.req)
}

// uncachedTokens returns the prompt tokens of a request that are not cached.
func (e *engineModel) uncachedTokens(r *request) int {
	n := r.tokens
	for _, p := range r.parts {
		if e.cache[p.ID] == nil {
			break
		}
		n -= p.Tokens
	}
	return n
}
