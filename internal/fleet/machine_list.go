package fleet

import (
	"time"

	"lemonmoor/internal/term"
	"lemonmoor/internal/tuning"
)

// listing is one reading of the machine list, page by page.
type listing struct {
	askedAt time.Duration
	seen    map[string]bool // by machine ID
}

// readList reads the machine list, again and again.
func (f *Fleet) readList() {
	f.readListPage(&listing{f.runtime.Now(), map[string]bool{}}, "")
}

// readListAfter reads the list once more after a while.
func (f *Fleet) readListAfter(pause time.Duration) {
	f.runtime.After(pause, f.term.counter.Guard(f.readList))
}

// readListPage reads the page that begins after a machine.
func (f *Fleet) readListPage(list *listing, after string) {
	if !f.cloud.spendCall() {
		f.runtime.After(tuning.MachineListRetryDelay, f.term.counter.Guard(func() { f.readListPage(list, after) }))
		return
	}
	f.cloud.readListPage(after, term.GuardResult(&f.term.counter, func(page machineListPage, err error) {
		f.takeListPage(list, page, err)
	}))
}

func (f *Fleet) takeListPage(list *listing, page machineListPage, err error) {
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
	f.releaseVanished(list.seen)
	f.term.listed = true
	f.readListAfter(tuning.MachineListInterval)
}

// observeListed takes a machine in from a list that was asked for at a moment.
func (f *Fleet) observeListed(listed *listedMachine, askedAt time.Duration) {
	if f.machines.isReleased(listed.ID) {
		return // the list lags
	}
	machine := f.machines.byID[listed.ID]
	if machine == nil {
		age := time.Duration(listed.AgeSeconds * float64(time.Second))
		machine = newMachine(listed.ID, f.shardIndex(listed.ID), listed.kind(), askedAt-age)
		f.machines.byID[listed.ID] = machine
	}
	machine.observe(listed, f.runtime.Now())
	if listed.Phase == phaseFailed && !machine.listing.failed {
		machine.listing.failed = true
		f.requestRelease(machine, "failed")
	}
}

// releaseVanished releases machines that the list no longer has: released before, or taken by
// the cloud. The release is the proof that all on them is gone; a list alone can be old.
func (f *Fleet) releaseVanished(seen map[string]bool) {
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
