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

// Drain is a drain as the records describe it.
type Drain struct {
	ID       string
	Head     Head
	Revision uint64 // revision of the head, 0 while there is no head
	Pages    map[int]*StoredPage
	Grants   map[uint64]*StoredGrant
}

// StoredPage is a page with the revision of its key.
type StoredPage struct {
	Page
	Revision uint64
}

// StoredGrant is a grant with the revision of its key.
type StoredGrant struct {
	Grant
	Revision uint64
}

// isAccepted reports whether the drain was accepted, which the head shows: pages are written
// before it.
func (d *Drain) isAccepted() bool { return d.Revision != 0 }

// grantNumbers returns the numbers of the grants in ascending order.
func (d *Drain) grantNumbers() []uint64 { return slices.Sorted(maps.Keys(d.Grants)) }

// entryPosition is the position of a machine's entry in a drain's pages.
type entryPosition struct {
	page  int // number of the page
	index int // index in the page
}

// EachMachine calls fn for each machine, in the order of the pages. fn must not modify the
// entries.
func (d *Drain) EachMachine(fn func(position entryPosition, machine *Machine)) {
	for number := range d.Head.Pages {
		if page := d.Pages[number]; page != nil {
			for i := range page.Machines {
				fn(entryPosition{number, i}, &page.Machines[i])
			}
		}
	}
}

// CountByState returns the number of machines in each state.
func (d *Drain) CountByState() map[MachineState]int {
	counts := map[MachineState]int{}
	d.EachMachine(func(_ entryPosition, machine *Machine) { counts[machine.State]++ })
	return counts
}

// Records is a node's copy of the records of all drains, kept up to date by a watch.
type Records struct {
	mirror         *statestore.Mirror
	log            *slog.Logger
	drains         map[string]*Drain // by ID, including those that have only pages or grants
	unreadableKeys map[string]bool   // keys whose values do not parse
	index          recordIndex
}

// recordIndex indexes the records by machine and by task. It is rebuilt on the first lookup
// after a change of the records.
type recordIndex struct {
	isStale       bool
	closingDrains map[string]int // number of active drains that keep a machine closed, by machine
	grants        map[TaskName][]TaskRef
}

// NewRecords returns an empty copy, which is filled and updated once Start is called.
// onChange is called after the records have changed.
func NewRecords(rt eventloop.Runtime, state *statestore.Client, log *slog.Logger, onChange func()) *Records {
	records := &Records{log: log}
	records.clear()
	records.mirror = statestore.NewMirror(rt, state, KeyPrefix, statestore.MirrorHandler{
		Reset:   func([]statestore.KeyValue) { records.clear() },
		Apply:   records.apply,
		Updated: onChange,
	})
	return records
}

func (r *Records) clear() {
	r.drains, r.unreadableKeys = map[string]*Drain{}, map[string]bool{}
	r.index = recordIndex{closingDrains: map[string]int{}, grants: map[TaskName][]TaskRef{}}
}

// Start begins to watch the records.
func (r *Records) Start() { r.mirror.Start() }

// Verify calls done when the copy is proven to contain everything committed before the call,
// or with an error if that cannot be proven.
func (r *Records) Verify(done func(error)) { r.mirror.Verify(done) }

// VerifiedAt returns the time, by the event loop's clock, up to which the copy is proven to
// be complete. isKnown is false before the first proof.
func (r *Records) VerifiedAt() (at time.Duration, isKnown bool) { return r.mirror.VerifiedAt() }

// Get returns an accepted drain by its ID, nil if there is none.
func (r *Records) Get(id string) *Drain {
	if drain := r.drains[id]; drain != nil && drain.isAccepted() {
		return drain
	}
	return nil
}

// Drains returns the accepted drains, the oldest first.
func (r *Records) Drains() []*Drain {
	var drains []*Drain
	for _, drain := range r.drains {
		if drain.isAccepted() {
			drains = append(drains, drain)
		}
	}
	slices.SortFunc(drains, func(a, b *Drain) int {
		return cmp.Or(cmp.Compare(a.Head.CreatedAtMS, b.Head.CreatedAtMS), cmp.Compare(a.ID, b.ID))
	})
	return drains
}

// IsIdle reports whether no drain is active and no grant is left, so that shard owners have
// nothing to halt or report.
func (r *Records) IsIdle() bool {
	for _, drain := range r.drains {
		if drain.Head.Phase.Active() || len(drain.Grants) > 0 {
			return false
		}
	}
	return true
}

// HasNoWork reports whether the leader has nothing to do: no drain is active and no record
// has to be removed.
func (r *Records) HasNoWork() bool {
	for _, drain := range r.drains {
		if drain.Head.Phase.Active() || len(drain.Pages)+len(drain.Grants) > 0 {
			return false
		}
	}
	return len(r.drains) <= tuning.MaxFinishedDrains
}

// replacements returns the machines rented to replace machines of active drains that are not
// released yet.
func (r *Records) replacements() map[string]bool {
	replacements := map[string]bool{}
	for _, drain := range r.Drains() {
		if !drain.Head.Phase.Active() {
			continue
		}
		drain.EachMachine(func(_ entryPosition, machine *Machine) {
			if machine.Replacement != "" && machine.State != MachineReleased {
				replacements[machine.Replacement] = true
			}
		})
	}
	return replacements
}

// IsClosed reports whether an active drain keeps a machine closed to new tasks.
func (r *Records) IsClosed(machineID string) bool {
	r.refreshIndex()
	return r.index.closingDrains[machineID] > 0
}

// grantsOf returns the granted attempts of a task or gang.
func (r *Records) grantsOf(name TaskName) []TaskRef {
	r.refreshIndex()
	return r.index.grants[name]
}

// IsGranted reports whether any attempt of a task, or of its whole gang if isGang is set, is
// granted.
func (r *Records) IsGranted(job string, index int, isGang bool) bool {
	if isGang {
		index = gangIndex
	}
	return len(r.grantsOf(TaskName{job, index})) > 0
}

// HasUnreadable reports whether a record cannot be decoded, so that its grants are unknown.
func (r *Records) HasUnreadable() bool { return len(r.unreadableKeys) > 0 }

// refreshIndex rebuilds the index if the records have changed.
func (r *Records) refreshIndex() {
	if !r.index.isStale {
		return
	}
	r.index.isStale = false
	clear(r.index.closingDrains)
	clear(r.index.grants)
	for _, drain := range r.drains {
		if drain.Head.Phase.Active() {
			drain.EachMachine(func(_ entryPosition, machine *Machine) {
				if machine.State == MachineClosed {
					r.index.closingDrains[machine.ID]++
				}
			})
		}
		for _, grant := range drain.Grants {
			for _, ref := range grant.Tasks {
				r.index.grants[ref.Name()] = append(r.index.grants[ref.Name()], ref)
			}
		}
	}
}

// apply stores a record, or removes it if the value is nil.
func (r *Records) apply(rawKey string, value json.RawMessage, revision uint64) {
	key, err := parseKey(rawKey)
	if err != nil {
		r.log.Warn("unknown drain record", "key", rawKey)
		return
	}
	r.index.isStale = true
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
	if err := drain.store(key, value, revision); err != nil {
		r.unreadableKeys[rawKey] = true
		r.log.Error("failed to decode a drain record, nothing more is granted", "key", rawKey, "err", err)
	}
}

// store sets one of the drain's records. A record that cannot be decoded is stored as far as
// it was decoded, because its revision is needed to replace it.
func (d *Drain) store(key recordKey, value json.RawMessage, revision uint64) error {
	switch key.kind {
	case headKind:
		d.Head, d.Revision = Head{}, revision
		return json.Unmarshal(value, &d.Head)
	case pageKind:
		page := &StoredPage{Revision: revision}
		d.Pages[int(key.number)] = page
		return json.Unmarshal(value, &page.Page)
	case grantKind:
		grant := &StoredGrant{Revision: revision}
		d.Grants[key.number] = grant
		return json.Unmarshal(value, &grant.Grant)
	}
	return nil
}

// remove removes a record of a drain, and the drain itself with its last record.
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
