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

// exists tells whether the drain was accepted. Pages are written before the head.
func (d *Drain) exists() bool { return d.Revision != 0 }

// grantNumbers lists the grants in the order in which they were given.
func (d *Drain) grantNumbers() []uint64 { return slices.Sorted(maps.Keys(d.Grants)) }

// Each calls fn for the machines, in the order of the pages.
func (d *Drain) Each(fn func(page, position int, m *Machine)) {
	for number := range d.Head.Pages {
		if page := d.Pages[number]; page != nil {
			for i := range page.Machines {
				fn(number, i, &page.Machines[i])
			}
		}
	}
}

// Count tells how many machines are in each state.
func (d *Drain) Count() map[MachineState]int {
	counts := map[MachineState]int{}
	d.Each(func(_, _ int, m *Machine) { counts[m.State]++ })
	return counts
}

// Records is a node's copy of all drains, fed by a watch.
type Records struct {
	// OnChange is called after the records have changed.
	OnChange func()

	mirror *statestore.Mirror
	log    *slog.Logger
	drains map[string]*Drain
	closed map[string]int      // drains that keep a machine closed, by its name
	byTask map[TaskName][]held // grants by task
	stale  bool                // closed and byTask are to be made anew
	broken map[string]bool     // keys whose values do not parse
}

// held is a task of a grant.
type held struct {
	drain *Drain
	ref   TaskRef
}

// NewRecords returns an empty book.
func NewRecords(rt eventloop.Runtime, state *statestore.Client, log *slog.Logger) *Records {
	b := &Records{OnChange: func() {}, log: log}
	b.clear()
	b.mirror = statestore.NewMirror(rt, state, KeyPrefix, statestore.MirrorHandler{
		Reset:   func([]statestore.KeyValue) { b.clear() },
		Apply:   b.apply,
		Updated: func() { b.OnChange() },
	})
	return b
}

func (b *Records) clear() {
	b.drains, b.closed, b.byTask, b.stale = map[string]*Drain{}, map[string]int{}, map[TaskName][]held{}, false
	b.broken = map[string]bool{}
}

// Start begins to follow the records.
func (b *Records) Start() { b.mirror.Start() }

// Ready tells whether the records have been read.
func (b *Records) Ready() bool { return b.mirror.IsReady() }

// Verify calls fn when the book is proven to hold all that was committed before.
func (b *Records) Verify(fn func(error)) { b.mirror.Verify(fn) }

// VerifiedAt is the moment up to which the book is proven to be complete.
func (b *Records) VerifiedAt() (time.Duration, bool) { return b.mirror.VerifiedAt() }

// VerifyIfOlder has the book shown to be current if that was longer ago than age.
func (b *Records) VerifyIfOlder(age time.Duration) { b.mirror.VerifyIfOlder(age) }

// Get finds a drain.
func (b *Records) Get(id string) *Drain {
	if d := b.drains[id]; d != nil && d.exists() {
		return d
	}
	return nil
}

// Drains lists the drains, the oldest first.
func (b *Records) Drains() []*Drain {
	var list []*Drain
	for _, d := range b.drains {
		if d.exists() {
			list = append(list, d)
		}
	}
	slices.SortFunc(list, func(x, y *Drain) int {
		return cmp.Or(cmp.Compare(x.Head.Created, y.Head.Created), cmp.Compare(x.ID, y.ID))
	})
	return list
}

// IsIdle tells whether nothing is to be done for any drain.
func (b *Records) IsIdle() bool {
	for _, d := range b.drains {
		if d.Head.Phase.Active() || len(d.Grants) > 0 {
			return false
		}
	}
	return true
}

// IsQuiet tells whether there is nothing to do at all: no drain is active, and nothing is
// left of those that are over.
func (b *Records) IsQuiet() bool {
	for _, d := range b.drains {
		if d.Head.Phase.Active() || len(d.Pages)+len(d.Grants) > 0 {
			return false
		}
	}
	return len(b.drains) <= tuning.MaxFinishedDrains
}

// IsClosed tells whether a machine takes no new tasks.
func (b *Records) IsClosed(machine string) bool {
	b.index()
	return b.closed[machine] > 0
}

// grantsOf lists the grants of a task or gang.
func (b *Records) grantsOf(name TaskName) []held {
	b.index()
	return b.byTask[name]
}

// IsGranted tells whether a task, of a gang or not, is granted.
func (b *Records) IsGranted(job string, index int, gang bool) bool {
	if gang {
		index = wholeGang
	}
	return len(b.grantsOf(TaskName{job, index})) > 0
}

// HasUnreadable tells whether a record does not parse: what it grants is not known.
func (b *Records) HasUnreadable() bool { return len(b.broken) > 0 }

// index makes the look-up tables anew if the records have changed.
func (b *Records) index() {
	if !b.stale {
		return
	}
	b.stale = false
	clear(b.closed)
	clear(b.byTask)
	for _, d := range b.drains {
		if d.Head.Phase.Active() {
			d.Each(func(_, _ int, m *Machine) {
				if m.State == MachineClosed {
					b.closed[m.ID]++
				}
			})
		}
		for _, g := range d.Grants {
			for _, ref := range g.Tasks {
				b.byTask[ref.Name()] = append(b.byTask[ref.Name()], held{d, ref})
			}
		}
	}
}

func (b *Records) apply(raw string, value json.RawMessage, stamp uint64) {
	k, err := parseKey(raw)
	if err != nil {
		b.log.Warn("unknown drain record", "key", raw)
		return
	}
	b.stale = true
	delete(b.broken, raw)
	d := b.drains[k.id]
	if d == nil {
		d = &Drain{ID: k.id, Pages: map[int]*StoredPage{}, Grants: map[uint64]*StoredGrant{}}
		b.drains[k.id] = d
	}
	if value == nil {
		b.remove(d, k)
		return
	}
	switch k.part {
	case headPart:
		d.Head, d.Revision = Head{}, stamp
		err = json.Unmarshal(value, &d.Head)
	case pagePart:
		page := &StoredPage{Revision: stamp}
		err = json.Unmarshal(value, &page.Page)
		d.Pages[int(k.number)] = page
	case grantPart:
		grant := &StoredGrant{Revision: stamp}
		err = json.Unmarshal(value, &grant.Grant)
		d.Grants[k.number] = grant
	}
	if err != nil {
		b.broken[raw] = true
		b.log.Error("drain record does not parse, nothing more is granted", "key", raw, "err", err)
	}
}

func (b *Records) remove(d *Drain, k key) {
	switch k.part {
	case headPart:
		d.Head, d.Revision = Head{}, 0
	case pagePart:
		delete(d.Pages, int(k.number))
	case grantPart:
		delete(d.Grants, k.number)
	}
	if !d.exists() && len(d.Pages) == 0 && len(d.Grants) == 0 {
		delete(b.drains, d.ID)
	}
}
