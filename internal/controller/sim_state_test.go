package controller

import (
	"encoding/json"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"lemonmoor/internal/http1"
)

// stateService is the key-value store of the protocol.
type simStateService struct {
	sim         *simulation
	revision    uint64
	keys        map[string]*storedValue
	log         []storedChange
	leases      map[uint64]*simLease
	lastLeaseID uint64
	writeTokens float64 // changes that may be made now, where they are limited
	refilledAt  time.Duration
	watches     []*openWatch
}

type storedValue struct {
	value    json.RawMessage
	revision uint64
	leaseID  uint64
}

type storedChange struct {
	key      string
	value    json.RawMessage // nil: removed
	revision uint64
}

type simLease struct{ ttl, endsAt time.Duration }

type openWatch struct {
	from     string
	prefix   string
	since    uint64
	reply    func(http1.Response)
	answered bool
}

func jsonResponse(status int, body any) http1.Response {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return http1.Response{Status: status, Body: raw}
}

func (s *simStateService) expireLeases() {
	for id, lease := range s.leases {
		if lease.endsAt <= s.sim.now {
			s.endLease(id)
		}
	}
}

func (s *simStateService) endLease(id uint64) {
	delete(s.leases, id)
	var gone []string
	for key, stored := range s.keys {
		if stored.leaseID == id {
			gone = append(gone, key)
		}
	}
	if len(gone) == 0 {
		return
	}
	sort.Strings(gone)
	s.revision++
	for _, key := range gone {
		delete(s.keys, key)
		s.log = append(s.log, storedChange{key, nil, s.revision})
	}
	s.notifyWatches()
}

func (s *simStateService) notifyWatches() {
	for _, watch := range s.watches {
		if !watch.answered && !s.sim.outage && !s.sim.refusedControllers[watch.from] {
			if response, any := s.changes(watch.prefix, watch.since); any {
				watch.answered = true
				watch.reply(response)
			}
		}
	}
	s.watches = slices.DeleteFunc(s.watches, func(watch *openWatch) bool { return watch.answered })
}

func (s *simStateService) changes(prefix string, since uint64) (http1.Response, bool) {
	list := []map[string]any{}
	for _, change := range s.log {
		if change.revision <= since || !strings.HasPrefix(change.key, prefix) {
			continue
		}
		if change.value == nil {
			list = append(list, map[string]any{"remove": change.key, "stamp": change.revision})
		} else {
			list = append(list, map[string]any{"set": change.key, "v": change.value, "stamp": change.revision})
		}
	}
	return jsonResponse(200, map[string]any{"epoch": s.revision, "log": list}), len(list) > 0
}

func (s *simStateService) serve(from string, request http1.ClientRequest, reply func(http1.Response)) {
	if s.sim.outage || s.sim.refusedControllers[from] {
		reply(jsonResponse(503, map[string]string{"error": "trouble"}))
		return
	}
	s.expireLeases()
	target, err := url.Parse(request.Target)
	if err != nil {
		reply(jsonResponse(400, nil))
		return
	}
	query := target.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	switch {
	case target.Path == "/commit":
		reply(s.commit(request.Body))
	case target.Path == "/watch" && s.sim.silentWatchPrefix != "" && query.Get("under") == s.sim.silentWatchPrefix:
		// no answer
	case target.Path == "/watch":
		response, any := s.changes(query.Get("under"), since)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		if any || wait == 0 {
			reply(response)
			return
		}
		watch := &openWatch{from: from, prefix: query.Get("under"), since: since, reply: reply}
		s.watches = append(s.watches, watch)
		s.sim.after(time.Duration(wait)*time.Millisecond, func() {
			if !watch.answered && !s.sim.outage && !s.sim.refusedControllers[from] {
				watch.answered = true
				response, _ := s.changes(watch.prefix, watch.since)
				reply(response)
			}
		})
	case target.Path == "/keys":
		var rows []map[string]any
		var names []string
		for key := range s.keys {
			if strings.HasPrefix(key, query.Get("under")) && key > query.Get("since") {
				names = append(names, key)
			}
		}
		sort.Strings(names)
		more := len(names) > 3 // small pages, so that paging is used
		for _, key := range names[:min(3, len(names))] {
			rows = append(rows, map[string]any{"key": key, "v": s.keys[key].value, "stamp": s.keys[key].revision})
		}
		reply(jsonResponse(200, map[string]any{"rows": rows, "hasNext": more, "epoch": s.revision}))
	case target.Path == "/grants":
		var body struct {
			TTL int64 `json:"ttlMs"`
		}
		if json.Unmarshal(request.Body, &body) != nil || body.TTL < 100 {
			reply(jsonResponse(400, nil))
			return
		}
		s.lastLeaseID++
		ttl := time.Duration(body.TTL) * time.Millisecond
		id := s.lastLeaseID
		s.leases[id] = &simLease{ttl, s.sim.now + ttl}
		s.scheduleLeaseEnd(id)
		reply(jsonResponse(200, map[string]uint64{"permit": id}))
	case strings.HasPrefix(target.Path, "/grants/"):
		parts := strings.Split(target.Path, "/")
		id, _ := strconv.ParseUint(parts[2], 10, 64)
		lease := s.leases[id]
		switch {
		case lease == nil:
			reply(jsonResponse(404, nil))
		case request.Method == "DELETE":
			s.endLease(id)
			reply(jsonResponse(200, nil))
		default:
			lease.endsAt = s.sim.now + lease.ttl
			reply(jsonResponse(200, nil))
		}
	default:
		reply(jsonResponse(404, nil))
	}
}

func (s *simStateService) scheduleLeaseEnd(id uint64) {
	lease := s.leases[id]
	if lease == nil {
		return
	}
	s.sim.after(max(lease.endsAt-s.sim.now, 50*time.Millisecond), func() {
		if lease := s.leases[id]; lease != nil && lease.endsAt <= s.sim.now && !s.sim.outage {
			s.endLease(id)
		}
		s.scheduleLeaseEnd(id)
	})
}

func (s *simStateService) commit(body []byte) http1.Response {
	var t struct {
		Guards []struct {
			Key   string `json:"key"`
			Stamp uint64 `json:"stamp"`
		} `json:"guards"`
		Apply []struct {
			Set    string          `json:"set"`
			Value  json.RawMessage `json:"v"`
			Permit uint64          `json:"permit"`
			Remove string          `json:"remove"`
		} `json:"apply"`
	}
	if err := json.Unmarshal(body, &t); err != nil || len(t.Apply) > s.sim.operations || len(t.Guards) > 4*s.sim.operations || len(body) > 64<<10 {
		if s.sim.undeclared && err == nil {
			return jsonResponse(400, map[string]string{"error": "too many changes in a commit"})
		}
		s.sim.violated("the state service was sent a malformed commit: %d changes, %d guards, %d bytes", len(t.Apply), len(t.Guards), len(body))
		return jsonResponse(400, nil)
	}
	var failed []string
	for _, g := range t.Guards {
		stamp := uint64(0)
		if stored := s.keys[g.Key]; stored != nil {
			stamp = stored.revision
		}
		if stamp != g.Stamp {
			failed = append(failed, g.Key)
		}
	}
	for _, a := range t.Apply {
		if a.Permit != 0 && s.leases[a.Permit] == nil {
			return jsonResponse(400, map[string]string{"error": "no such lease"})
		}
		if len(a.Value) > s.sim.valueBytes {
			if s.sim.undeclared {
				return jsonResponse(400, map[string]string{"error": "value too large"})
			}
			s.sim.violated("value of %d bytes for %s", len(a.Value), a.Set)
			return jsonResponse(400, nil)
		}
	}
	if rate := s.sim.writesPerSecond; rate > 0 {
		s.writeTokens = min(rate, s.writeTokens+rate*(s.sim.now-s.refilledAt).Seconds())
		s.refilledAt = s.sim.now
		if s.writeTokens < float64(len(t.Apply)) {
			return jsonResponse(429, map[string]string{"error": "too many changes"})
		}
		s.writeTokens -= float64(len(t.Apply))
	}
	if len(failed) > 0 {
		return jsonResponse(409, map[string]any{"failed": failed, "epoch": s.revision})
	}
	if len(t.Apply) > 0 {
		s.revision++
		for _, a := range t.Apply {
			if a.Remove != "" {
				delete(s.keys, a.Remove)
				s.log = append(s.log, storedChange{a.Remove, nil, s.revision})
				continue
			}
			s.keys[a.Set] = &storedValue{a.Value, s.revision, a.Permit}
			if strings.HasPrefix(a.Set, "lease/block/") || a.Set == "lease/lead" {
				s.sim.releaseRetainedHeartbeats()
			}
			s.log = append(s.log, storedChange{a.Set, a.Value, s.revision})
		}
		s.notifyWatches()
	}
	return jsonResponse(200, map[string]uint64{"epoch": s.revision})
}
