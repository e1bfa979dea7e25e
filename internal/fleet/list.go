package fleet

import (
	"encoding/json"
	"net/url"
	"time"

	"lemonmoor/internal/httpwire"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/work"
)

// list reads the machine list, page by page.
func (f *Fleet) list(term int) {
	seen := map[string]bool{}
	asked := f.rt.Now()
	var page func(since string)
	again := func(d time.Duration) {
		f.rt.After(d, func() {
			if term == f.term {
				f.list(term)
			}
		})
	}
	page = func(since string) {
		if term != f.term {
			return
		}
		if !f.afford() {
			f.rt.After(400*time.Millisecond, func() { page(since) })
			return
		}
		target := "/rentals?limit=500"
		if since != "" {
			target += "&since=" + url.QueryEscape(since)
		}
		f.rt.Call(f.addr, httpwire.Call{Method: "GET", Target: target}, tuning.CloudTimeout, func(ans httpwire.Answer, err error) {
			if term != f.term {
				return
			}
			var reply struct {
				Hosts []struct {
					ID    string  `json:"id"`
					Addr  string  `json:"addr"`
					Build string  `json:"build"`
					Zone  string  `json:"yard"`
					Spot  bool    `json:"loaners"`
					Phase string  `json:"phase"`
					AgeS  float64 `json:"ageS"`
				} `json:"hosts"`
				HasNext bool `json:"hasNext"`
			}
			if err == nil && ans.Status == 200 {
				err = json.Unmarshal(ans.Body, &reply)
			}
			if err != nil || ans.Status != 200 {
				f.log.Debug("machine list not read", "status", ans.Status, "err", err)
				again(tuning.ListEvery / 2)
				return
			}
			for _, l := range reply.Hosts {
				seen[l.ID] = true
				if _, gone := f.returned[l.ID]; gone {
					continue // the list lags
				}
				m := f.machines[l.ID]
				if m == nil {
					m = &machine{id: l.ID, kind: Kind{l.Build, l.Zone, l.Spot}, block: work.BlockOf(l.ID, len(f.statuses)),
						rented: asked - time.Duration(l.AgeS*float64(time.Second))}
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
			if reply.HasNext && len(reply.Hosts) > 0 {
				page(reply.Hosts[len(reply.Hosts)-1].ID)
				return
			}
			f.vanished(seen)
			f.listed = true
			again(tuning.ListEvery)
		})
	}
	page("")
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
		if !f.fresh(m) || !m.state.Open {
			f.giveBack(m, "no longer listed")
		}
	}
}
