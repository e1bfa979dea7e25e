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
	Hosts   []listedMachine `json:"hosts"`
	HasNext bool            `json:"hasNext"`
}

// listedMachine is a machine as the list has it.
type listedMachine struct {
	ID    string  `json:"id"`
	Addr  string  `json:"addr"`
	Build string  `json:"build"`
	Zone  string  `json:"yard"`
	Spot  bool    `json:"loaners"`
	Phase string  `json:"phase"`
	AgeS  float64 `json:"ageS"`
}

// listing is one reading of the machine list.
type listing struct {
	term  int
	asked time.Duration
	seen  map[string]bool
}

// list reads the machine list, page by page, again and again.
func (f *Fleet) list(term int) {
	f.listPage(&listing{term, f.rt.Now(), map[string]bool{}}, "")
}

// listAgain reads the list once more after a while.
func (f *Fleet) listAgain(term int, after time.Duration) {
	f.rt.After(after, func() {
		if term == f.term {
			f.list(term)
		}
	})
}

// listPage reads the page that begins after a machine.
func (f *Fleet) listPage(l *listing, since string) {
	if l.term != f.term {
		return
	}
	if !f.afford() {
		f.rt.After(tuning.MachineListRetryDelay, func() { f.listPage(l, since) })
		return
	}
	target := "/rentals?limit=500"
	if since != "" {
		target += "&since=" + url.QueryEscape(since)
	}
	f.rt.CallHTTP(f.addr, http1.ClientRequest{Method: "GET", Target: target}, tuning.CloudRequestTimeout, func(ans http1.Response, err error) {
		if l.term != f.term {
			return
		}
		var reply listReply
		if err == nil && ans.Status == 200 {
			err = json.Unmarshal(ans.Body, &reply)
		}
		if err != nil || ans.Status != 200 {
			f.log.Debug("machine list not read", "status", ans.Status, "err", err)
			f.listAgain(l.term, tuning.MachineListInterval/2)
			return
		}
		for i := range reply.Hosts {
			l.seen[reply.Hosts[i].ID] = true
			f.takeListed(&reply.Hosts[i], l.asked)
		}
		if reply.HasNext && len(reply.Hosts) > 0 {
			f.listPage(l, reply.Hosts[len(reply.Hosts)-1].ID)
			return
		}
		f.vanished(l.seen)
		f.listed = true
		f.listAgain(l.term, tuning.MachineListInterval)
	})
}

// takeListed takes a machine in from the list.
func (f *Fleet) takeListed(l *listedMachine, asked time.Duration) {
	if _, gone := f.returned[l.ID]; gone {
		return // the list lags
	}
	m := f.machines[l.ID]
	if m == nil {
		m = &machine{
			id: l.ID, kind: MachineKind{l.Build, l.Zone, l.Spot}, block: taskstate.ShardOf(l.ID, len(f.statuses)),
			rented: asked - time.Duration(l.AgeS*float64(time.Second)),
		}
		f.machines[l.ID] = m
	}
	m.addr, m.listed, m.missed = l.Addr, true, 0
	if m.booting = l.Phase == "booting"; m.booting {
		m.running = 0
	} else if m.running == 0 {
		m.running = f.rt.Now()
	}
	if l.Phase == "failed" && !m.failed {
		m.failed = true
		f.giveBack(m, "failed")
	}
}

// vanished forgets machines that the list no longer has: returned by us, or
// taken by the cloud. They are returned once more, which is the proof that
// all on them is gone; a list alone can be old.
func (f *Fleet) vanished(seen map[string]bool) {
	for id, m := range f.machines {
		if seen[id] || !m.listed {
			continue
		}
		if m.missed++; m.missed < 3 {
			continue // a list can be older than the one before
		}
		if !f.fresh(m) || !m.state.AcceptsTasks {
			f.giveBack(m, "no longer listed")
		}
	}
}
