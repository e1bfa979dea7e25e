package fleet

import (
	"encoding/json"
	"net/url"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// listReply is a page of the cloud's machine list.
type listReply struct {
	Machines []listedMachine `json:"hosts"`
	HasNext  bool            `json:"hasNext"`
}

// listedMachine is a machine as the list has it.
type listedMachine struct {
	ID          string  `json:"id"`
	Address     string  `json:"addr"`
	MachineType string  `json:"build"`
	Zone        string  `json:"yard"`
	Spot        bool    `json:"loaners"`
	Phase       string  `json:"phase"`
	AgeSeconds  float64 `json:"ageS"`
}

// listing is one reading of the machine list.
type listing struct {
	term  int
	asked time.Duration
	seen  map[string]bool
}

// readList reads the machine list, page by page, again and again.
func (f *Fleet) readList(term int) {
	f.readListPage(&listing{term, f.runtime.Now(), map[string]bool{}}, "")
}

// readListAfter reads the list once more after a while.
func (f *Fleet) readListAfter(term int, after time.Duration) {
	f.runtime.After(after, func() {
		if term == f.term {
			f.readList(term)
		}
	})
}

// readListPage reads the page that begins after a machine.
func (f *Fleet) readListPage(l *listing, since string) {
	if l.term != f.term {
		return
	}
	if !f.spendCall() {
		f.runtime.After(tuning.MachineListRetryDelay, func() { f.readListPage(l, since) })
		return
	}
	target := "/rentals?limit=500"
	if since != "" {
		target += "&since=" + url.QueryEscape(since)
	}
	f.runtime.CallHTTP(f.cloudAddress, http1.ClientRequest{Method: "GET", Target: target}, tuning.CloudRequestTimeout, func(ans http1.Response, err error) {
		if l.term != f.term {
			return
		}
		var reply listReply
		if err == nil && ans.Status == 200 {
			err = json.Unmarshal(ans.Body, &reply)
		}
		if err != nil || ans.Status != 200 {
			f.log.Debug("machine list not read", "status", ans.Status, "err", err)
			f.readListAfter(l.term, tuning.MachineListInterval/2)
			return
		}
		for i := range reply.Machines {
			l.seen[reply.Machines[i].ID] = true
			f.observeListed(&reply.Machines[i], l.asked)
		}
		if reply.HasNext && len(reply.Machines) > 0 {
			f.readListPage(l, reply.Machines[len(reply.Machines)-1].ID)
			return
		}
		f.returnVanished(l.seen)
		f.listed = true
		f.readListAfter(l.term, tuning.MachineListInterval)
	})
}

// observeListed takes a machine in from the list.
func (f *Fleet) observeListed(l *listedMachine, asked time.Duration) {
	if _, gone := f.releasedAt[l.ID]; gone {
		return // the list lags
	}
	m := f.machines[l.ID]
	if m == nil {
		m = &machine{
			id: l.ID, kind: MachineKind{l.MachineType, l.Zone, l.Spot}, shard: taskstate.ShardOf(l.ID, len(f.statuses)),
			rentedAt: asked - time.Duration(l.AgeSeconds*float64(time.Second)),
		}
		f.machines[l.ID] = m
	}
	m.address, m.listed, m.missedLists = l.Address, true, 0
	if m.booting = l.Phase == "booting"; m.booting {
		m.runningSince = 0
	} else if m.runningSince == 0 {
		m.runningSince = f.runtime.Now()
	}
	if l.Phase == "failed" && !m.failed {
		m.failed = true
		f.returnMachine(m, "failed")
	}
}

// returnVanished forgets machines that the list no longer has: returned by us, or
// taken by the cloud. They are returned once more, which is the proof that
// all on them is gone; a list alone can be old.
func (f *Fleet) returnVanished(seen map[string]bool) {
	for id, m := range f.machines {
		if seen[id] || !m.listed {
			continue
		}
		if m.missedLists++; m.missedLists < 3 {
			continue // a list can be older than the one before
		}
		if !f.hasFreshStatus(m) || !m.status.AcceptsTasks {
			f.returnMachine(m, "no longer listed")
		}
	}
}
