package fleet

import (
	"time"

	"lemonmoor/internal/term"
	"lemonmoor/internal/tuning"
)

// listing is one read of the whole machine list, page by page.
type listing struct {
	askedAt time.Duration
	seen    map[string]bool // machine IDs of the pages read so far
}

// readList reads the machine list, and reads it again at intervals.
func (f *Fleet) readList() {
	f.readListPage(&listing{f.runtime.Now(), map[string]bool{}}, "")
}

// readListAfter reads the machine list again after a pause.
func (f *Fleet) readListAfter(pause time.Duration) {
	f.runtime.After(pause, f.term.counter.Guard(f.readList))
}

// readListPage reads the page that begins after a machine ID, "" for the first. It retries
// while the cloud's request budget is used up.
func (f *Fleet) readListPage(list *listing, afterID string) {
	if !f.cloud.spendCall() {
		f.runtime.After(tuning.MachineListRetryDelay, f.term.counter.Guard(func() { f.readListPage(list, afterID) }))
		return
	}
	f.cloud.readListPage(afterID, term.GuardResult(&f.term.counter, func(page machineListPage, err error) {
		f.handleListPage(list, page, err)
	}))
}

func (f *Fleet) handleListPage(list *listing, page machineListPage, err error) {
	if err != nil {
		f.log.Debug("machine list not read", "err", err)
		f.readListAfter(tuning.MachineListInterval / 2)
		return
	}
	for i := range page.Machines {
		list.seen[page.Machines[i].ID] = true
		f.observeListed(&page.Machines[i], list.askedAt)
	}
	if page.HasNext && len(page.Machines) > 0 {
		f.readListPage(list, page.Machines[len(page.Machines)-1].ID)
		return
	}
	f.releaseUnlisted(list.seen)
	f.term.listed = true
	f.readListAfter(tuning.MachineListInterval)
}

// observeListed creates or updates a machine from an entry of a list that was requested at
// askedAt.
func (f *Fleet) observeListed(listed *listedMachine, askedAt time.Duration) {
	if f.machines.isReleased(listed.ID) {
		return // the list lags behind the release
	}
	machine := f.machines.byID[listed.ID]
	if machine == nil {
		age := time.Duration(listed.AgeSeconds * float64(time.Second))
		machine = newMachine(listed.ID, f.shardIndex(listed.ID), listed.kind(), askedAt-age)
		f.machines.byID[listed.ID] = machine
	}
	machine.applyListEntry(listed, f.runtime.Now())
	if listed.Phase == phaseFailed && !machine.listing.failed {
		machine.listing.failed = true
		f.requestRelease(machine, "failed")
	}
}

// releaseUnlisted requests the release of machines that are missing from several consecutive
// lists, because they were released before or reclaimed by the cloud. A list can be stale:
// machines with a fresh status that accept tasks are retained, and only the confirmed release
// proves that the tasks on a machine are gone.
func (f *Fleet) releaseUnlisted(seen map[string]bool) {
	for id, machine := range f.machines.byID {
		if seen[id] || !machine.listing.listed {
			continue
		}
		machine.listing.missedLists++
		if machine.listing.missedLists < tuning.MissedListsBeforeRelease {
			continue
		}
		if !f.hasFreshStatus(machine) || !machine.status.AcceptsTasks {
			f.requestRelease(machine, "no longer listed")
		}
	}
}
