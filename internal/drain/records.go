package drain

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tuning"
)

// Drain is a drain as the records have it.
type Drain struct {
	ID       string
	Head     Head
	Revision uint64 // of the head
	Pages    map[int]*StoredPage
	Grants   map[uint64]*StoredGrant
}

// StoredPage is a page with the stamp of its key.
type StoredPage struct {
	Page
	Revision uint64
}

// StoredGrant is a grant with the stamp of its key.
type StoredGrant struct {
	Grant
	Revision uint64
}

// isAccepted tells whether the drain was accepted. Pages are written before the head.
func (d *Drain) isAccepted() bool { return d.Revision != 0 }

// grantNumbers lists the grants in the order in which they were given.
func (d *Drain) grantNumbers() []uint64 { return slices.Sorted(maps.Keys(d.Grants)) }

// EachMachine calls fn for the machines, in the order of the pages.
func (d *Drain) EachMachine(fn func(page, position int, machine *Machine)) {
	for number := range d.Head.Pages {
		if page := d.Pages[number]; page != nil {
			for i := range page.Machines {
				fn(number, i, &page.Machines[i])
			}
		}
	}
}

// CountByState tells how many machines are in each state.
func (d *Drain) CountByState() map[MachineState]int {
	counts := map[MachineState]int{}
	d.EachMachine(func(_, _ int, machine *Machine) { counts[machine.State]++ })
	return counts
}

// Records is a node's copy of all drains, fed by a watch.
type Records struct {
	// OnChange is called after the records have changed.
	OnChange func()

	mirror         *statestore.Mirror
	log            *slog.Logger
	drains         map[string]*Drain
	closingDrains  map[string]int      // drains that keep a machine closed, by its name
	grantsByTask   map[TaskName][]held // grants by task
	indexIsStale   bool                // closed and grantsByTask are to be made anew
	unreadableKeys map[string]bool     // keys whose values do not parse
}

// held is a task of a grant.
type held struct {
	drain *Drain
	ref   TaskRef
}

// NewRecords returns an empty book.
func NewRecords(rt eventloop.Runtime, state *statestore.Client, log *slog.Logger) *Records {
	records := &Records{OnChange: func() {}, log: log, mirror: statestore.NewMirror(rt, state, KeyPrefix)}
	records.clear()
	records.mirror.Reset = func([]statestore.KeyValue) { records.clear() }
	records.mirror.Apply = records.apply
	records.mirror.Updated = func() { records.OnChange() }
	return records
}

func (r *Records) clear() {
	r.drains, r.closingDrains, r.grantsByTask, r.indexIsStale = map[string]*Drain{}, map[string]int{}, map[TaskName][]held{}, false
	r.unreadableKeys = map[string]bool{}
}

// Start begins to follow the records.
func (r *Records) Start() { r.mirror.Start() }

// Ready tells whether the records have been read.
func (r *Records) Ready() bool { return r.mirror.IsReady() }

// Verify calls fn when the book is proven to hold all that was committed before.
func (r *Records) Verify(done func(error)) { r.mirror.Verify(done) }

// VerifiedAt is the moment up to which the book is proven to be complete.
func (r *Records) VerifiedAt() (time.Duration, bool) { return r.mirror.VerifiedAt() }

// VerifyIfOlder has the book shown to be current if that was longer ago than age.
func (r *Records) VerifyIfOlder(maxAge time.Duration) { r.mirror.VerifyIfOlder(maxAge) }

// Get finds a drain.
func (r *Records) Get(id string) *Drain {
	if drain := r.drains[id]; drain != nil && drain.isAccepted() {
		return drain
	}
	return nil
}

// Drains lists the drains, the oldest first.
func (r *Records) Drains() []*Drain {
	var drains []*Drain
	for _, drain := range r.drains {
		if drain.isAccepted() {
			drains = append(drains, drain)
		}
	}
	slices.SortFunc(drains, func(a, b *Drain) int {
		return cmp.Or(cmp.Compare(a.Head.Created, b.Head.Created), cmp.Compare(a.ID, b.ID))
	})
	return drains
}

// IsIdle tells whether nothing is to be done for any drain.
func (r *Records) IsIdle() bool {
	for _, drain := range r.drains {
		if drain.Head.Phase.Active() || len(drain.Grants) > 0 {
			return false
		}
	}
	return true
}

// IsEmptyOfWork tells whether there is nothing to do at all: no drain is active, and nothing is
// left of those that are over.
func (r *Records) IsEmptyOfWork() bool {
	for _, drain := range r.drains {
		if drain.Head.Phase.Active() || len(drain.Pages)+len(drain.Grants) > 0 {
			return false
		}
	}
	return len(r.drains) <= tuning.MaxFinishedDrains
}

// IsClosed tells whether a machine takes no new tasks.
func (r *Records) IsClosed(machine string) bool {
	r.refreshIndex()
	return r.closingDrains[machine] > 0
}

// grantsOf lists the grants of a task or gang.
func (r *Records) grantsOf(name TaskName) []held {
	r.refreshIndex()
	return r.grantsByTask[name]
}

// IsGranted tells whether a task, of a gang or not, is granted.
func (r *Records) IsGranted(job string, index int, gang bool) bool {
	if gang {
		index = gangIndex
	}
	return len(r.grantsOf(TaskName{job, index})) > 0
}

// HasUnreadable tells whether a record does not parse: what it grants is not known.
func (r *Records) HasUnreadable() bool { return len(r.unreadableKeys) > 0 }

// refreshIndex makes the look-up tables anew if the records have changed.
func (r *Records) refreshIndex() {
	if !r.indexIsStale {
		return
	}
	r.indexIsStale = false
	clear(r.closingDrains)
	clear(r.grantsByTask)
	for _, drain := range r.drains {
		if drain.Head.Phase.Active() {
			drain.EachMachine(func(_, _ int, machine *Machine) {
				if machine.State == MachineClosed {
					r.closingDrains[machine.ID]++
				}
			})
		}
		for _, grant := range drain.Grants {
			for _, ref := range grant.Tasks {
				r.grantsByTask[ref.Name()] = append(r.grantsByTask[ref.Name()], held{drain, ref})
			}
		}
	}
}

func (r *Records) apply(rawKey string, value json.RawMessage, revision uint64) {
	key, err := parseKey(rawKey)
	if err != nil {
		r.log.Warn("unknown drain record", "key", rawKey)
		return
	}
	r.indexIsStale = true
	delete(r.unreadableKeys, rawKey)
	drain := r.drains[key.drainID]
	if drain == nil {
		drain = &Drain{ID: key.drainID, Pages: map[int]*StoredPage{}, Grants: map[uint64]*StoredGrant{}}
		r.drains[key.drainID] = drain
	}
	if value == nil {
		r.remove(drain, key)
		return
	}
	switch key.kind {
	case headKind:
		drain.Head, drain.Revision = Head{}, revision
		err = json.Unmarshal(value, &drain.Head)
	case pageKind:
		page := &StoredPage{Revision: revision}
		err = json.Unmarshal(value, &page.Page)
		drain.Pages[int(key.number)] = page
	case grantKind:
		grant := &StoredGrant{Revision: revision}
		err = json.Unmarshal(value, &grant.Grant)
		drain.Grants[key.number] = grant
	}
	if err != nil {
		r.unreadableKeys[rawKey] = true
		r.log.Error("drain record does not parse, nothing more is granted", "key", rawKey, "err", err)
	}
}

func (r *Records) remove(drain *Drain, key recordKey) {
	switch key.kind {
	case headKind:
		drain.Head, drain.Revision = Head{}, 0
	case pageKind:
		delete(drain.Pages, int(key.number))
	case grantKind:
		delete(drain.Grants, key.number)
	}
	if !drain.isAccepted() && len(drain.Pages) == 0 && len(drain.Grants) == 0 {
		delete(r.drains, drain.ID)
	}
}
