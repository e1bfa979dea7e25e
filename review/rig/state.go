package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stateLimits are the limits of the state service in the settings.
type stateLimits struct {
	rps, writeRPS float64
	valueKB       float64
	txnOps        int
}

type storedKey struct {
	value  json.RawMessage
	stamp  uint64
	permit uint64
}

type change struct {
	key    string
	value  json.RawMessage // nil: removed
	stamp  uint64
	remove bool
}

type grant struct {
	ttl     time.Duration
	endsAt  time.Time
	touched bool
}

// bucket is a limit of a rate that allows some seconds' worth at once.
type bucket struct {
	rate, size, tokens float64
	at                 time.Time
}

// newBucket returns a full bucket for a rate that allows the given seconds' worth at once.
func newBucket(rate, seconds float64) bucket {
	return bucket{rate: rate, size: rate * seconds, tokens: rate * seconds, at: time.Now()}
}

func (b *bucket) take(amount float64) bool {
	now := time.Now()
	b.tokens = min(b.size, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < amount {
		return false
	}
	b.tokens -= amount
	return true
}

// commitAction is what a fault does to one commit.
type commitAction int

const (
	commitPass       commitAction = iota
	commitLoseAnswer              // carried out at once, not answered
	commitLate                    // not answered, carried out later
)

// stateService is the stand-in of the state service. Each node reaches it at an address of its
// own, so that one node alone can be refused.
type stateService struct {
	rec    *record
	limits stateLimits

	mu       sync.Mutex
	keys     map[string]*storedKey
	epoch    uint64
	log      []change
	dropped  uint64 // stamp of the newest change that is no longer in the log
	grants   map[uint64]*grant
	nextID   uint64
	requests bucket
	writes   bucket
	changed  chan struct{} // closed at every change
	down     bool
	refused  map[string]bool
	latency  time.Duration
	slow     time.Duration // further latency during a fault

	// onCommit, if set, decides about a commit before it is carried out.
	onCommit func(node string, commit *commitRequest) (commitAction, time.Duration)
	// committed, if set, is called after a commit was carried out, under the lock.
	committed func(node string, commit *commitRequest)
	refusals  int
}

type commitRequest struct {
	Guards []struct {
		Key   string `json:"key"`
		Stamp uint64 `json:"stamp"`
	} `json:"guards"`
	Apply []struct {
		Set    string          `json:"set"`
		V      json.RawMessage `json:"v"`
		Permit uint64          `json:"permit"`
		Remove string          `json:"remove"`
	} `json:"apply"`
}

func newStateService(rec *record, limits stateLimits) *stateService {
	s := &stateService{
		rec: rec, limits: limits, keys: map[string]*storedKey{}, grants: map[uint64]*grant{},
		changed: make(chan struct{}), refused: map[string]bool{}, epoch: 1, latency: 2 * time.Millisecond,
		requests: newBucket(limits.rps, 1),
		writes:   newBucket(limits.writeRPS, 1),
	}
	go s.expireGrants()
	return s
}

// listen serves a node on a free loopback port and returns the address.
func (s *stateService) listen(node string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(node, w, r) })}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

type anyMap = map[string]any

func (s *stateService) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for _, g := range s.grants { // every lease has its full time again
			g.endsAt = time.Now().Add(g.ttl)
		}
	}
	s.down = down
	s.signal()
}

func (s *stateService) setRefused(node string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = refused
	s.signal()
}

// signal wakes the open watches. The lock is held.
func (s *stateService) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stateService) isRefused(node string) bool { return s.down || s.refused[node] }

func (s *stateService) expireGrants() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		if !s.down {
			for id, g := range s.grants {
				if time.Now().After(g.endsAt) {
					s.endGrant(id)
				}
			}
		}
		s.mu.Unlock()
	}
}

// endGrant removes a lease and its keys. The lock is held.
func (s *stateService) endGrant(id uint64) {
	delete(s.grants, id)
	var keys []string
	for key, stored := range s.keys {
		if stored.permit == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.epoch++
	for _, key := range keys {
		delete(s.keys, key)
		s.append(change{key: key, stamp: s.epoch, remove: true})
	}
	s.rec.log("state: lease %d ended, keys %v removed", id, keys)
	s.signal()
}

func (s *stateService) append(c change) {
	s.log = append(s.log, c)
	if len(s.log) > 10000 {
		s.dropped = s.log[len(s.log)-10001].stamp
		s.log = s.log[len(s.log)-10000:]
	}
}

func (s *stateService) serve(node string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	s.mu.Lock()
	pause := s.latency + s.slow
	s.mu.Unlock()
	time.Sleep(time.Duration(float64(pause) * (0.5 + rand.Float64())))
	isWatch := r.URL.Path == "/watch"
	s.mu.Lock()
	if s.isRefused(node) {
		s.mu.Unlock()
		reply(w, 503, anyMap{"error": "unavailable"})
		return
	}
	if !s.requests.take(1) {
		s.refusals++
		s.mu.Unlock()
		reply(w, 429, anyMap{"error": "too many requests"})
		return
	}
	if isWatch {
		s.mu.Unlock()
		s.watch(node, w, r)
		return
	}
	if r.URL.Path == "/commit" && r.Method == http.MethodPost {
		s.serveCommit(node, body, w, r) // unlocks
		return
	}
	status, answer := s.handle(r, body)
	s.mu.Unlock()
	reply(w, status, answer)
}

// handle serves the requests other than watches and commits. The lock is held.
func (s *stateService) handle(r *http.Request, body []byte) (int, any) {
	path := r.URL.Path
	switch {
	case path == "/keys" && r.Method == http.MethodGet:
		query := r.URL.Query()
		limit, _ := strconv.Atoi(query.Get("limit"))
		if limit <= 0 || limit > 1000 {
			limit = 1000
		}
		var names []string
		for key := range s.keys {
			if strings.HasPrefix(key, query.Get("under")) && key > query.Get("since") {
				names = append(names, key)
			}
		}
		sort.Strings(names)
		rows, size, hasNext := []anyMap{}, 0, false
		for _, key := range names {
			stored := s.keys[key]
			size += len(key) + len(stored.value) + 60
			if len(rows) == limit || (size > 512*1024 && len(rows) > 0) {
				hasNext = true
				break
			}
			rows = append(rows, anyMap{"key": key, "v": stored.value, "stamp": stored.stamp})
		}
		return 200, anyMap{"rows": rows, "hasNext": hasNext, "epoch": s.epoch}
	case strings.HasPrefix(path, "/keys/") && r.Method == http.MethodGet:
		key := strings.TrimPrefix(path, "/keys/")
		stored := s.keys[key]
		if stored == nil {
			return 404, anyMap{"epoch": s.epoch}
		}
		return 200, anyMap{"key": key, "v": stored.value, "stamp": stored.stamp, "permit": stored.permit}
	case path == "/grants" && r.Method == http.MethodPost:
		var asked struct {
			TTLMS int64 `json:"ttlMs"`
		}
		if json.Unmarshal(body, &asked) != nil || asked.TTLMS < 100 || asked.TTLMS > 600000 {
			return 400, anyMap{"error": "malformed"}
		}
		s.nextID++
		ttl := time.Duration(asked.TTLMS) * time.Millisecond
		s.grants[s.nextID] = &grant{ttl: ttl, endsAt: time.Now().Add(ttl)}
		return 200, anyMap{"permit": s.nextID}
	case strings.HasPrefix(path, "/grants/"):
		text, touch := strings.CutSuffix(strings.TrimPrefix(path, "/grants/"), "/touch")
		id, err := strconv.ParseUint(text, 10, 64)
		g := s.grants[id]
		if err != nil || g == nil {
			return 404, anyMap{"epoch": s.epoch}
		}
		if touch && r.Method == http.MethodPost {
			g.endsAt = time.Now().Add(g.ttl)
			return 200, anyMap{"permit": id}
		}
		if r.Method == http.MethodDelete {
			s.endGrant(id)
			return 200, anyMap{}
		}
	}
	return 400, anyMap{"error": "malformed"}
}

// serveCommit serves a commit. The lock is held and is released.
func (s *stateService) serveCommit(node string, body []byte, w http.ResponseWriter, r *http.Request) {
	var commit commitRequest
	if json.Unmarshal(body, &commit) != nil {
		s.mu.Unlock()
		reply(w, 400, anyMap{"error": "malformed"})
		return
	}
	action, delay := commitPass, time.Duration(0)
	if s.onCommit != nil {
		action, delay = s.onCommit(node, &commit)
	}
	if action == commitLate {
		s.mu.Unlock()
		time.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			status, answer := s.commit(node, &commit, len(body))
			s.rec.log("state: late commit of %s carried out: %d %v: %s", node, status, answer, body)
		})
		<-r.Context().Done()
		return
	}
	status, answer := s.commit(node, &commit, len(body))
	s.mu.Unlock()
	if action == commitLoseAnswer {
		s.rec.log("state: commit of %s carried out (%d), answer lost: %s", node, status, body)
		<-r.Context().Done()
		return
	}
	reply(w, status, answer)
}

// commit carries out a commit. The lock is held.
func (s *stateService) commit(node string, commit *commitRequest, size int) (int, any) {
	if s.isRefused(node) {
		return 503, anyMap{"error": "unavailable"}
	}
	if len(commit.Apply) > s.limits.txnOps || len(commit.Guards) > 4*s.limits.txnOps || size > 64*1024 {
		return 400, anyMap{"error": "transaction too large"}
	}
	if !s.writes.take(float64(len(commit.Apply))) {
		s.refusals++
		return 429, anyMap{"error": "too many changes"}
	}
	for _, op := range commit.Apply {
		if (op.Set == "") == (op.Remove == "") || float64(len(op.V)) > s.limits.valueKB*1024 {
			return 400, anyMap{"error": "malformed or too large"}
		}
		if op.Permit != 0 && s.grants[op.Permit] == nil {
			return 400, anyMap{"error": "no such lease"}
		}
	}
	failed := []string{}
	for _, guard := range commit.Guards {
		stamp := uint64(0)
		if stored := s.keys[guard.Key]; stored != nil {
			stamp = stored.stamp
		}
		if stamp != guard.Stamp {
			failed = append(failed, guard.Key)
		}
	}
	if len(failed) > 0 {
		return 409, anyMap{"failed": failed, "epoch": s.epoch}
	}
	if len(commit.Apply) == 0 {
		return 200, anyMap{"epoch": s.epoch}
	}
	s.epoch++
	for _, op := range commit.Apply {
		if op.Set != "" {
			s.keys[op.Set] = &storedKey{value: op.V, stamp: s.epoch, permit: op.Permit}
			s.append(change{key: op.Set, value: op.V, stamp: s.epoch})
			continue
		}
		if s.keys[op.Remove] != nil {
			delete(s.keys, op.Remove)
			s.append(change{key: op.Remove, stamp: s.epoch, remove: true})
		}
	}
	if s.committed != nil {
		s.committed(node, commit)
	}
	s.signal()
	return 200, anyMap{"epoch": s.epoch}
}

func (s *stateService) watch(node string, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("waitMs"))
	prefix := query.Get("under")
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	timedOut := waitMS == 0
	for {
		s.mu.Lock()
		changed := s.changed
		refused := s.isRefused(node)
		if !refused {
			if since < s.dropped {
				s.mu.Unlock()
				reply(w, 410, anyMap{"epoch": s.epoch})
				return
			}
			events := []anyMap{}
			for i := sort.Search(len(s.log), func(i int) bool { return s.log[i].stamp > since }); i < len(s.log); i++ {
				c := s.log[i]
				switch {
				case !strings.HasPrefix(c.key, prefix):
				case c.remove:
					events = append(events, anyMap{"remove": c.key, "stamp": c.stamp})
				default:
					events = append(events, anyMap{"set": c.key, "v": c.value, "stamp": c.stamp})
				}
			}
			if len(events) > 0 || timedOut {
				epoch := s.epoch
				s.mu.Unlock()
				reply(w, 200, anyMap{"epoch": epoch, "log": events})
				return
			}
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			timedOut = true
			if refused { // an open watch waits during an outage
				select {
				case <-changed:
				case <-r.Context().Done():
					return
				}
			}
		case <-r.Context().Done():
			return
		}
	}
}

// value returns the value of a key, nil if there is none.
func (s *stateService) value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored := s.keys[key]; stored != nil {
		return stored.value
	}
	return nil
}

// leader returns the name of the node that holds the leadership, "" if none does.
func (s *stateService) leader() string { return holderOf(s.value("lease/lead")) }

// owner returns the name of the node that owns a shard, "" if none does.
func (s *stateService) owner(shard int) string {
	return holderOf(s.value("lease/block/" + strconv.Itoa(shard)))
}

func holderOf(value json.RawMessage) string {
	var holder struct {
		Node string `json:"node"`
	}
	_ = json.Unmarshal(value, &holder)
	return holder.Node
}
