// Package lead is the leader's duty: it hands tasks out to the block of
// machines within the teams' limits, keeps the work records, and writes the
// end of a job.
package lead

import (
	"encoding/json"
	"log/slog"
	"slices"
	"sort"
	"time"

	"lemonmoor/internal/engine"
	"lemonmoor/internal/intake"
	"lemonmoor/internal/ledger"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/work"
)

// Book holds all work of the block while this process holds the office.
type Book struct {
	// Waiting is called for a task that may be given to a machine.
	Waiting func(*work.Task)
	// Launchable is called when a placement is durable.
	Launchable func(*work.Task)
	// Loaded is called when the records of a new term have been read.
	Loaded func()
	// Zones fixes the zones of a job's tasks at its first hand-out.
	Zones func(*work.Job) []string
	// Cancelled is called when a job with tasks on machines was cancelled.
	Cancelled func(*work.Job)

	rt     engine.Runtime
	led    *ledger.Client
	office *ledger.Office
	cat    *intake.Catalog
	set    *settings.Settings
	log    *slog.Logger

	term    int // grows with every won office; late answers of old ones are dropped
	loaded  bool
	jobs    map[string]*work.Job
	pending []*work.Job // with tasks not handed out, in order
	usage   map[string]*usage
	dirty   []*work.Chunk
	finish  []*work.Job
	stale   []string // records to remove
	flying  bool
	tries   int
	planned bool
	tokens  float64 // of the write budget
	filled  time.Duration
	resort  bool
}

// usage is what a team's open tasks take.
type usage struct {
	cpus, cards       float64
	cpusMax, cardsMax float64
}

// New returns an empty book.
func New(rt engine.Runtime, led *ledger.Client, office *ledger.Office, cat *intake.Catalog, set *settings.Settings, log *slog.Logger) *Book {
	b := &Book{rt: rt, led: led, office: office, cat: cat, set: set, log: log}
	b.End()
	return b
}

// End forgets everything: the office is lost.
func (b *Book) End() {
	b.term++
	b.loaded, b.flying, b.planned = false, false, false
	b.jobs, b.pending, b.dirty, b.finish, b.stale = map[string]*work.Job{}, nil, nil, nil, nil
	b.usage = map[string]*usage{}
	for _, t := range b.set.Deployment.Teams {
		b.usage[t.Name] = &usage{cpusMax: t.CPUsMax, cardsMax: t.GPUsMax}
	}
}

// IsLoaded tells whether the records of this term have been read.
func (b *Book) IsLoaded() bool { return b.loaded }

// Begin reads the records for a new term. Earlier owners' commits are guarded
// by the old stamp of the lease, so the records no longer change under us.
func (b *Book) Begin() {
	b.End()
	term := b.term
	b.read(term, 0)
}

func (b *Book) read(term, try int) {
	retry := func() {
		b.rt.After(b.led.Backoff(try), func() {
			if term == b.term {
				b.read(term, try+1)
			}
		})
	}
	if !b.cat.Ready() {
		retry()
		return
	}
	b.led.List(work.Prefix, func(rows []ledger.Row, _ uint64, out ledger.Outcome) {
		if term != b.term {
			return
		}
		if out != ledger.OK {
			retry()
			return
		}
		// Only now the catalog: it must hold every job that has work.
		b.cat.Check(func(err error) {
			if term != b.term {
				return
			}
			if err != nil {
				retry()
				return
			}
			b.build(rows)
		})
	})
}

func (b *Book) build(rows []ledger.Row) {
	for _, row := range rows {
		id, number, err := work.ParseKey(row.Key)
		if err != nil {
			b.log.Error("foreign work record", "key", row.Key, "err", err)
			continue
		}
		e := b.cat.Get(id)
		if e == nil || e.Job == nil {
			// The job is done: what is left of its records can go.
			b.stale = append(b.stale, row.Key)
			continue
		}
		j := b.jobs[id]
		if j == nil {
			j = b.newJob(e)
		}
		c, err := work.Decode(j, number, row.Value)
		if err != nil {
			b.log.Error("work record does not parse", "key", row.Key, "err", err)
			continue
		}
		j.Chunks[number] = c
		j.HandedOut = max(j.HandedOut, c.Base()+len(c.Tasks))
		u := b.usage[j.Desc.Team]
		for _, t := range c.Tasks {
			if t.State == work.Done {
				j.DoneCount++
			} else if u != nil {
				u.cpus += j.Desc.CPUs
				u.cards += j.Desc.Cards
			}
		}
	}
	b.cat.All(func(e *intake.Entry) {
		if e.Phase == "" && b.jobs[e.ID] == nil {
			b.newJob(e)
		}
	})
	b.loaded = true
	for _, j := range b.jobs {
		if j.HandedOut < j.Desc.Tasks && !j.Cancelled {
			b.pending = append(b.pending, j)
		}
	}
	b.resort = true
	b.markWithin()
	b.log.Info("work records read", "jobs", len(b.jobs), "records", len(rows))
	b.Loaded()
	for _, j := range b.jobs {
		if j.Cancelled {
			b.drop(j)
			continue
		}
		for _, c := range j.Chunks {
			for _, t := range c.Tasks {
				t.Zone = j.ZoneOf(t.Index)
				if t.State == work.Waiting {
					b.Waiting(t)
				}
			}
		}
		b.over(j)
	}
}

func (b *Book) newJob(e *intake.Entry) *work.Job {
	age := time.Duration(b.rt.Wall().UnixMilli()-e.At) * time.Millisecond
	j := &work.Job{Desc: e.Job, Submitted: e.At, Arrived: b.rt.Now() - max(0, age),
		Cancelled: e.Phase == intake.Cancelled, Chunks: map[int]*work.Chunk{}}
	b.jobs[e.ID] = j
	return j
}

// markWithin finds, for every job, whether it fits into its team's guarantee
// together with the team's earlier unfinished jobs.
func (b *Book) markWithin() {
	all := make([]*work.Job, 0, len(b.jobs))
	for _, j := range b.jobs {
		if !j.Cancelled {
			all = append(all, j)
		}
	}
	sort.Slice(all, func(i, k int) bool { return earlier(all[i], all[k]) })
	type sum struct{ cpus, cards float64 }
	sums := map[string]*sum{}
	for _, j := range all {
		s := sums[j.Desc.Team]
		if s == nil {
			s = &sum{}
			sums[j.Desc.Team] = s
		}
		s.cpus += j.Desc.CPUs * float64(j.Desc.Tasks)
		s.cards += j.Desc.Cards * float64(j.Desc.Tasks)
		i := slices.IndexFunc(b.set.Deployment.Teams, func(t settings.Team) bool { return t.Name == j.Desc.Team })
		if i >= 0 {
			t := b.set.Deployment.Teams[i]
			j.Within = j.Within || (s.cpus <= t.CPUs+1e-9 && s.cards <= t.GPUs+1e-9)
		}
	}
}

func earlier(a, b *work.Job) bool {
	if a.Submitted != b.Submitted {
		return a.Submitted < b.Submitted
	}
	return a.Desc.ID < b.Desc.ID
}

// Before orders jobs: priority, then work within a guarantee, then age.
func Before(a, b *work.Job) bool {
	if p, q := a.Desc.Priority(), b.Desc.Priority(); p != q {
		return p > q
	}
	if a.Within != b.Within {
		return a.Within
	}
	return earlier(a, b)
}

// JobChanged takes note of a new or ended job.
func (b *Book) JobChanged(e *intake.Entry) {
	if !b.loaded {
		return
	}
	j := b.jobs[e.ID]
	switch {
	case e.Phase == "" && j == nil:
		j = b.newJob(e)
		b.pending = append(b.pending, j)
		b.resort = true
		b.markWithin()
	case e.Phase == intake.Cancelled && j != nil && !j.Cancelled:
		j.Cancelled = true
		b.pending = slices.DeleteFunc(b.pending, func(o *work.Job) bool { return o == j })
		b.drop(j)
		b.Cancelled(j)
	}
}

// drop ends the tasks of a cancelled job that are surely on no machine.
func (b *Book) drop(j *work.Job) {
	for _, c := range j.Chunks {
		for _, t := range c.Tasks {
			if t.State == work.Waiting {
				b.Drop(t)
			}
		}
	}
	b.over(j)
}

// Drop ends a task of a cancelled job that is on no machine.
func (b *Book) Drop(t *work.Task) {
	t.State = work.Dropped
	b.release(t.Job)
	b.over(t.Job)
}

func (b *Book) release(j *work.Job) {
	if u := b.usage[j.Desc.Team]; u != nil {
		u.cpus -= j.Desc.CPUs
		u.cards -= j.Desc.Cards
	}
}

// HandOut hands out as many tasks as the teams' limits allow, best first.
func (b *Book) HandOut() {
	if !b.loaded || !b.office.Valid() || len(b.pending) == 0 {
		return
	}
	if b.resort {
		sort.Slice(b.pending, func(i, k int) bool { return Before(b.pending[i], b.pending[k]) })
		b.resort = false
	}
	full := map[string]bool{}
	kept := b.pending[:0]
	for _, j := range b.pending {
		u := b.usage[j.Desc.Team]
		if u == nil || full[j.Desc.Team] {
			kept = append(kept, j)
			continue
		}
		for j.HandedOut < j.Desc.Tasks {
			if u.cpus+j.Desc.CPUs > u.cpusMax+1e-9 || u.cards+j.Desc.Cards > u.cardsMax+1e-9 {
				full[j.Desc.Team] = true
				break
			}
			b.hand(j, u)
		}
		if j.HandedOut < j.Desc.Tasks {
			kept = append(kept, j)
		}
	}
	b.pending = kept
}

// hand hands out the next task of a job.
func (b *Book) hand(j *work.Job, u *usage) {
	if (j.Desc.OneZone || j.Desc.Spread) && j.Zones == nil && j.HandedOut == 0 {
		j.Zones = b.Zones(j)
	}
	number := j.HandedOut / tuning.ChunkTasks
	c := j.Chunks[number]
	if c == nil {
		c = &work.Chunk{Job: j, Number: number}
		j.Chunks[number] = c
	}
	t := &work.Task{Job: j, Chunk: c, Index: j.HandedOut, Zone: j.ZoneOf(j.HandedOut)}
	c.Tasks = append(c.Tasks, t)
	j.HandedOut++
	u.cpus += j.Desc.CPUs
	u.cards += j.Desc.Cards
	b.Waiting(t)
}

// Changed marks a task's record for a commit; urgent if a launch waits for it.
func (b *Book) Changed(t *work.Task, urgent bool) {
	c := t.Chunk
	if !c.Dirty {
		c.Dirty, c.Urgent, c.Since = true, false, b.rt.Now()
		b.dirty = append(b.dirty, c)
	}
	c.Urgent = c.Urgent || urgent
}

// TaskDone notes a completed task.
func (b *Book) TaskDone(t *work.Task) {
	t.State = work.Done
	t.Job.DoneCount++
	b.release(t.Job)
	b.Changed(t, false)
	b.over(t.Job)
}

// over queues a job's end once nothing of it is left to run.
func (b *Book) over(j *work.Job) {
	if j.Finishing || !b.loaded {
		return
	}
	if j.Cancelled {
		if j.Open() > 0 {
			return
		}
	} else if j.DoneCount < j.Desc.Tasks || j.Desc.Service() {
		return
	}
	j.Finishing = true
	b.finish = append(b.finish, j)
}

// Settle hands out, then commits what has changed.
func (b *Book) Settle() {
	b.HandOut()
	b.flush()
}

func (b *Book) budget() float64 {
	rate := b.set.Deployment.State.WriteRPS * tuning.WriteShare
	now := b.rt.Now()
	b.tokens = min(rate, b.tokens+rate*(now-b.filled).Seconds())
	b.filled = now
	return b.tokens
}

// later plans another flush.
func (b *Book) later(d time.Duration) {
	if b.planned {
		return
	}
	b.planned = true
	term := b.term
	b.rt.After(max(d, time.Millisecond), func() {
		if term == b.term {
			b.planned = false
			b.flush()
		}
	})
}

// flush sends the next commit: ends of jobs first, then records that launches
// wait for, then the rest. One is under way at a time.
func (b *Book) flush() {
	if b.flying || !b.loaded || !b.office.Valid() {
		return
	}
	left := b.budget()
	if left < 1 {
		if len(b.dirty)+len(b.finish)+len(b.stale) > 0 {
			b.later(time.Duration(float64(time.Second) / (b.set.Deployment.State.WriteRPS * tuning.WriteShare)))
		}
		return
	}
	most := min(b.set.Deployment.State.TxnOps, max(1, int(left)))
	if b.commitWork(most, true) || b.commitEnd() || b.commitWork(most, false) || b.commitStale(most) {
		return
	}
}

// spend takes n changes off the write budget.
func (b *Book) spend(n int) { b.tokens -= float64(n) }

// commit sends changes under the guard of the block's lease.
//
// undo puts the work back if the commit surely was not carried out.
func (b *Book) commit(guards []ledger.Guard, apply []ledger.Change, ok, undo func()) {
	term, token := b.term, b.office.Token()
	guards = append([]ledger.Guard{{Key: ledger.BlockKey, Stamp: token}}, guards...)
	b.flying = true
	b.spend(len(apply))
	b.led.Commit(guards, apply, func(r ledger.Result) {
		if term != b.term {
			return
		}
		switch r.Outcome {
		case ledger.OK:
			b.flying, b.tries = false, 0
			ok()
			b.flush()
		case ledger.Conflict:
			b.flying = false
			if slices.Contains(r.Failed, ledger.BlockKey) {
				b.office.Dispossessed()
				return
			}
			undo()
			b.flush()
		case ledger.Refused:
			// Surely not carried out: the same again, a little later.
			b.tries++
			b.rt.After(b.led.Backoff(b.tries-1), func() {
				if term == b.term {
					b.flying = false
					undo()
					b.flush()
				}
			})
		case ledger.Invalid:
			b.log.Error("work records refused as malformed")
			b.rt.After(tuning.StateBackoffMax, func() {
				if term == b.term {
					b.office.Renew()
				}
			})
		default:
			// The commit may be carried out late. Under a new token its guard
			// fails; then the records are read anew.
			b.log.Info("commit without answer, renewing the token")
			b.office.Renew()
		}
	})
}

// saved is a task as it was when its record was encoded.
type saved struct {
	task    *work.Task
	state   work.State
	attempt uint64
}

func (b *Book) commitWork(most int, urgent bool) bool {
	now := b.rt.Now()
	var batch []*work.Chunk
	var apply []ledger.Change
	var tasks []saved
	size := 0
	soonest := time.Duration(-1)
	for _, c := range b.dirty {
		if len(batch) == most || size > tuning.CommitBytes {
			break
		}
		if urgent && !c.Urgent {
			continue
		}
		if !c.Urgent {
			if wait := c.Since + tuning.DoneDelay - now; wait > 0 {
				if soonest < 0 || wait < soonest {
					soonest = wait
				}
				continue
			}
		}
		if c.Job.Finishing {
			continue // its records are removed with the job's end
		}
		value, err := c.Encode()
		if err != nil {
			b.log.Error("work record does not encode", "err", err)
			continue
		}
		size += len(value) + 100
		batch = append(batch, c)
		apply = append(apply, ledger.Change{Set: c.Key(), Value: value})
		for _, t := range c.Tasks {
			tasks = append(tasks, saved{t, t.State, t.Attempt})
		}
	}
	if len(batch) == 0 {
		if soonest >= 0 {
			b.later(soonest)
		}
		return false
	}
	for _, c := range batch {
		c.Dirty, c.Urgent, c.Stored = false, false, true
	}
	b.dirty = slices.DeleteFunc(b.dirty, func(c *work.Chunk) bool { return !c.Dirty })
	b.commit(nil, apply, func() {
		for _, s := range tasks {
			t := s.task
			switch {
			case s.state == work.Done:
				t.DoneDurable = true
			case s.state == work.Placed && t.State == work.Placed && t.Attempt == s.attempt && !t.Durable:
				t.Durable = true
				b.Launchable(t)
			}
		}
	}, func() {
		for _, c := range batch {
			if !c.Dirty {
				c.Dirty, c.Since = true, now
				b.dirty = append(b.dirty, c)
			}
			c.Urgent = true
		}
	})
	return true
}

// commitEnd writes the end of one job: the phase that its user will be told,
// and the removal of its records.
func (b *Book) commitEnd() bool {
	for len(b.finish) > 0 {
		j := b.finish[0]
		b.finish = b.finish[1:]
		id := j.Desc.ID
		var keys []string
		for _, c := range j.Chunks {
			if c.Stored {
				keys = append(keys, c.Key())
			}
		}
		if j.Cancelled {
			b.stale = append(b.stale, keys...)
			b.forget(j)
			continue
		}
		e := b.cat.Get(id)
		if e == nil {
			continue
		}
		value, err := json.Marshal(intake.Record{Phase: intake.Done, At: e.At, Tasks: j.Desc.Tasks})
		if err != nil {
			b.log.Error("job record does not encode", "err", err)
			continue
		}
		apply := []ledger.Change{{Set: intake.Prefix + id, Value: value}}
		n := min(len(keys), b.set.Deployment.State.TxnOps-1)
		for _, k := range keys[:n] {
			apply = append(apply, ledger.Change{Remove: k})
		}
		rest := keys[n:]
		stamp := e.Stamp
		b.commit([]ledger.Guard{{Key: intake.Prefix + id, Stamp: stamp}}, apply, func() {
			b.stale = append(b.stale, rest...)
			b.forget(j)
			b.cat.Check(func(error) {}) // brings the new phase in
		}, func() {
			// Refused, or cancelled in the meantime: look again.
			j.Finishing = false
			b.cat.Check(func(error) {
				if e := b.cat.Get(id); e != nil && b.jobs[id] == j {
					b.JobChanged(e)
					b.over(j)
				}
			})
		})
		return true
	}
	return false
}

// forget removes an ended job from the book.
func (b *Book) forget(j *work.Job) {
	delete(b.jobs, j.Desc.ID)
	b.dirty = slices.DeleteFunc(b.dirty, func(c *work.Chunk) bool { return c.Job == j })
}

func (b *Book) commitStale(most int) bool {
	n := min(len(b.stale), most)
	if n == 0 {
		return false
	}
	keys := b.stale[:n]
	b.stale = b.stale[n:]
	var apply []ledger.Change
	for _, k := range keys {
		apply = append(apply, ledger.Change{Remove: k})
	}
	b.commit(nil, apply, func() {}, func() { b.stale = append(b.stale, keys...) })
	return true
}

// Job finds a job with work.
func (b *Book) Job(id string) *work.Job { return b.jobs[id] }

// Jobs calls fn for every job with work.
func (b *Book) Jobs(fn func(*work.Job)) {
	for _, j := range b.jobs {
		fn(j)
	}
}

// Progress tells how far a job is.
func (b *Book) Progress(id string) (done, running int, known bool) {
	j := b.jobs[id]
	if j == nil {
		return 0, 0, false
	}
	return j.DoneCount, j.Running, true
}
