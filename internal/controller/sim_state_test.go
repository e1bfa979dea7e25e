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
type stateService struct {
	w      *world
	epoch  uint64
	keys   map[string]*entry
	log    []change
	grants map[uint64]*grant
	next   uint64
	spare  float64 // changes that may be made now, where they are limited
	filled time.Duration
	waits  []*waiting
}

type entry struct {
	value  json.RawMessage
	stamp  uint64
	permit uint64
}

type change struct {
	key   string
	value json.RawMessage // nil: removed
	stamp uint64
}

type grant struct{ ttl, ends time.Duration }

type waiting struct {
	from   string
	prefix string
	since  uint64
	reply  func(http1.Response)
	over   bool
}

func answer(status int, body any) http1.Response {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return http1.Response{Status: status, Body: raw}
}

func (s *stateService) expire() {
	for id, g := range s.grants {
		if g.ends <= s.w.now {
			s.end(id)
		}
	}
}

func (s *stateService) end(id uint64) {
	delete(s.grants, id)
	var gone []string
	for key, e := range s.keys {
		if e.permit == id {
			gone = append(gone, key)
		}
	}
	if len(gone) == 0 {
		return
	}
	sort.Strings(gone)
	s.epoch++
	for _, key := range gone {
		delete(s.keys, key)
		s.log = append(s.log, change{key, nil, s.epoch})
	}
	s.notify()
}

func (s *stateService) notify() {
	for _, v := range s.waits {
		if !v.over && !s.w.outage && !s.w.refused[v.from] {
			if a, any := s.changes(v.prefix, v.since); any {
				v.over = true
				v.reply(a)
			}
		}
	}
	s.waits = slices.DeleteFunc(s.waits, func(v *waiting) bool { return v.over })
}

func (s *stateService) changes(prefix string, since uint64) (http1.Response, bool) {
	list := []map[string]any{}
	for _, c := range s.log {
		if c.stamp <= since || !strings.HasPrefix(c.key, prefix) {
			continue
		}
		if c.value == nil {
			list = append(list, map[string]any{"remove": c.key, "stamp": c.stamp})
		} else {
			list = append(list, map[string]any{"set": c.key, "v": c.value, "stamp": c.stamp})
		}
	}
	return answer(200, map[string]any{"epoch": s.epoch, "log": list}), len(list) > 0
}

func (s *stateService) serve(from string, c http1.ClientRequest, reply func(http1.Response)) {
	if s.w.outage || s.w.refused[from] {
		reply(answer(503, map[string]string{"error": "trouble"}))
		return
	}
	s.expire()
	u, err := url.Parse(c.Target)
	if err != nil {
		reply(answer(400, nil))
		return
	}
	q := u.Query()
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	switch {
	case u.Path == "/commit":
		reply(s.commit(c.Body))
	case u.Path == "/watch" && s.w.mute != "" && q.Get("under") == s.w.mute:
		// no answer
	case u.Path == "/watch":
		a, any := s.changes(q.Get("under"), since)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		if any || wait == 0 {
			reply(a)
			return
		}
		v := &waiting{from: from, prefix: q.Get("under"), since: since, reply: reply}
		s.waits = append(s.waits, v)
		s.w.after(time.Duration(wait)*time.Millisecond, func() {
			if !v.over && !s.w.outage && !s.w.refused[from] {
				v.over = true
				a, _ := s.changes(v.prefix, v.since)
				reply(a)
			}
		})
	case u.Path == "/keys":
		var rows []map[string]any
		var names []string
		for key := range s.keys {
			if strings.HasPrefix(key, q.Get("under")) && key > q.Get("since") {
				names = append(names, key)
			}
		}
		sort.Strings(names)
		more := len(names) > 3 // small pages, so that paging is used
		for _, key := range names[:min(3, len(names))] {
			rows = append(rows, map[string]any{"key": key, "v": s.keys[key].value, "stamp": s.keys[key].stamp})
		}
		reply(answer(200, map[string]any{"rows": rows, "hasNext": more, "epoch": s.epoch}))
	case u.Path == "/grants":
		var body struct {
			TTL int64 `json:"ttlMs"`
		}
		if json.Unmarshal(c.Body, &body) != nil || body.TTL < 100 {
			reply(answer(400, nil))
			return
		}
		s.next++
		ttl := time.Duration(body.TTL) * time.Millisecond
		id := s.next
		s.grants[id] = &grant{ttl, s.w.now + ttl}
		s.watchGrant(id)
		reply(answer(200, map[string]uint64{"permit": id}))
	case strings.HasPrefix(u.Path, "/grants/"):
		parts := strings.Split(u.Path, "/")
		id, _ := strconv.ParseUint(parts[2], 10, 64)
		g := s.grants[id]
		switch {
		case g == nil:
			reply(answer(404, nil))
		case c.Method == "DELETE":
			s.end(id)
			reply(answer(200, nil))
		default:
			g.ends = s.w.now + g.ttl
			reply(answer(200, nil))
		}
	default:
		reply(answer(404, nil))
	}
}

func (s *stateService) watchGrant(id uint64) {
	g := s.grants[id]
	if g == nil {
		return
	}
	s.w.after(max(g.ends-s.w.now, 50*time.Millisecond), func() {
		if g := s.grants[id]; g != nil && g.ends <= s.w.now && !s.w.outage {
			s.end(id)
		}
		s.watchGrant(id)
	})
}

func (s *stateService) commit(body []byte) http1.Response {
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
	if err := json.Unmarshal(body, &t); err != nil || len(t.Apply) > s.w.ops || len(t.Guards) > 4*s.w.ops || len(body) > 64<<10 {
		if s.w.lie && err == nil {
			return answer(400, map[string]string{"error": "too many changes in a commit"})
		}
		s.w.breaks("the state service was sent a malformed commit: %d changes, %d guards, %d bytes", len(t.Apply), len(t.Guards), len(body))
		return answer(400, nil)
	}
	var failed []string
	for _, g := range t.Guards {
		stamp := uint64(0)
		if e := s.keys[g.Key]; e != nil {
			stamp = e.stamp
		}
		if stamp != g.Stamp {
			failed = append(failed, g.Key)
		}
	}
	for _, a := range t.Apply {
		if a.Permit != 0 && s.grants[a.Permit] == nil {
			return answer(400, map[string]string{"error": "no such lease"})
		}
		if len(a.Value) > s.w.value {
			if s.w.lie {
				return answer(400, map[string]string{"error": "value too large"})
			}
			s.w.breaks("value of %d bytes for %s", len(a.Value), a.Set)
			return answer(400, nil)
		}
	}
	if rate := s.w.writes; rate > 0 {
		s.spare = min(rate, s.spare+rate*(s.w.now-s.filled).Seconds())
		s.filled = s.w.now
		if s.spare < float64(len(t.Apply)) {
			return answer(429, map[string]string{"error": "too many changes"})
		}
		s.spare -= float64(len(t.Apply))
	}
	if len(failed) > 0 {
		return answer(409, map[string]any{"failed": failed, "epoch": s.epoch})
	}
	if len(t.Apply) > 0 {
		s.epoch++
		for _, a := range t.Apply {
			if a.Remove != "" {
				delete(s.keys, a.Remove)
				s.log = append(s.log, change{a.Remove, nil, s.epoch})
				continue
			}
			s.keys[a.Set] = &entry{a.Value, s.epoch, a.Permit}
			if strings.HasPrefix(a.Set, "lease/block/") || a.Set == "lease/lead" {
				s.w.changedHands()
			}
			s.log = append(s.log, change{a.Set, a.Value, s.epoch})
		}
		s.notify()
	}
	return answer(200, map[string]uint64{"epoch": s.epoch})
}
