package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stateService is a stand-in of the state service, by the protocol's section on it. It has one
// listener for each controller, so that one of them can be refused alone.
type stateService struct {
	mu       sync.Mutex
	limits   stateLimits
	epoch    uint64
	keys     map[string]*stored
	history  []change
	dropped  uint64 // newest revision that is no longer in the history
	grants   map[uint64]*grant
	nextID   uint64
	changed  chan struct{} // closed and replaced with each change
	requests bucket
	writes   bucket
	refused  map[string]bool // controllers that get 503
	delay    time.Duration   // added to every answer
	lossy    float64         // share of commits whose answer is lost, and of those that are late
}

type stateLimits struct {
	rps, writeRPS float64
	valueBytes    int
	txnOps        int
}

type stored struct {
	value  json.RawMessage
	stamp  uint64
	permit uint64
}

type change struct {
	key     string
	value   json.RawMessage // nil: removed
	stamp   uint64
	removed bool
}

type grant struct {
	ttl time.Duration
	end time.Time
}

const historyLength = 10000

func newStateService(limits stateLimits) *stateService {
	s := &stateService{
		limits: limits, keys: map[string]*stored{}, grants: map[uint64]*grant{}, changed: make(chan struct{}),
		requests: newBucket(limits.rps), writes: newBucket(limits.writeRPS), refused: map[string]bool{},
	}
	go s.expire()
	return s
}

// serve listens for one controller and returns the address.
func (s *stateService) serve(node string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(node, w, r) }))
	}()
	return listener.Addr().String(), nil
}

func (s *stateService) setRefused(node string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = refused
	if !refused {
		for _, g := range s.grants { // after an outage every lease has its full time again
			g.end = time.Now().Add(g.ttl)
		}
	}
}

func (s *stateService) expire() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		now, outage := time.Now(), len(s.refused) > 0 && s.allRefused()
		if !outage {
			for id, g := range s.grants {
				if now.After(g.end) {
					s.endGrant(id)
				}
			}
		}
		s.mu.Unlock()
	}
}

func (s *stateService) allRefused() bool {
	count := 0
	for _, refused := range s.refused {
		if refused {
			count++
		}
	}
	return count >= 3
}

// endGrant ends a lease and removes its keys.
func (s *stateService) endGrant(id uint64) {
	delete(s.grants, id)
	var keys []string
	for key, kv := range s.keys {
		if kv.permit == id {
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
		s.log(change{key: key, stamp: s.epoch, removed: true})
	}
	s.wake()
}

func (s *stateService) log(c change) {
	s.history = append(s.history, c)
	if len(s.history) > historyLength {
		s.dropped = s.history[0].stamp
		s.history = s.history[1:]
	}
}

func (s *stateService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		raw, status = []byte("{}"), 500
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

type fields map[string]any

func (s *stateService) handle(node string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64<<10))
	if err != nil {
		reply(w, 400, fields{"error": "body"})
		return
	}
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(2*time.Millisecond + delay)
	s.mu.Lock()
	refused := s.refused[node]
	allowed := s.requests.take(1)
	s.mu.Unlock()
	switch {
	case refused:
		reply(w, 503, fields{"error": "trouble"})
	case !allowed:
		reply(w, 429, fields{"error": "too many requests"})
	case r.Method == "GET" && r.URL.Path == "/keys":
		s.list(w, r)
	case r.Method == "GET" && strings.HasPrefix(r.URL.Path, "/keys/"):
		s.get(w, strings.TrimPrefix(r.URL.Path, "/keys/"))
	case r.Method == "POST" && r.URL.Path == "/commit":
		if s.lossy > 0 && rand.Float64() < s.lossy {
			s.commit(httptest.NewRecorder(), body) // carried out, but the answer is lost
			panic(http.ErrAbortHandler)
		}
		if s.lossy > 0 && rand.Float64() < s.lossy {
			go func() { // carried out late, the caller has given up
				time.Sleep(time.Duration(2+rand.IntN(15)) * time.Second)
				s.commit(httptest.NewRecorder(), body)
			}()
			time.Sleep(10 * time.Second)
			panic(http.ErrAbortHandler)
		}
		s.commit(w, body)
		if s.lossy > 0 && rand.Float64() < 10*s.lossy {
			go func() { // a request that was carried out is repeated
				time.Sleep(time.Duration(rand.IntN(20000)) * time.Millisecond)
				s.commit(httptest.NewRecorder(), body)
			}()
		}
	case r.Method == "GET" && r.URL.Path == "/watch":
		s.watch(node, w, r)
	case r.Method == "POST" && r.URL.Path == "/grants":
		s.newGrant(w, body)
	case strings.HasPrefix(r.URL.Path, "/grants/"):
		s.useGrant(w, r)
	default:
		reply(w, 400, fields{"error": "no such path"})
	}
}

func (s *stateService) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kv := s.keys[key]
	if kv == nil {
		reply(w, 404, fields{"epoch": s.epoch})
		return
	}
	reply(w, 200, fields{"key": key, "v": kv.value, "stamp": kv.stamp, "permit": kv.permit})
}

func (s *stateService) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	under, since := query.Get("under"), query.Get("since")
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 1000 {
		limit = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, under) && key > since {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	rows, size := []fields{}, 0
	for _, key := range keys {
		kv := s.keys[key]
		if len(rows) == limit || size+len(kv.value) > 500<<10 {
			break
		}
		size += len(kv.value) + len(key) + 60
		rows = append(rows, fields{"key": key, "v": kv.value, "stamp": kv.stamp})
	}
	reply(w, 200, fields{"rows": rows, "hasNext": len(rows) < len(keys), "epoch": s.epoch})
}

func (s *stateService) commit(w http.ResponseWriter, body []byte) {
	var txn struct {
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
	if json.Unmarshal(body, &txn) != nil {
		reply(w, 400, fields{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(txn.Apply) > s.limits.txnOps || len(txn.Guards) > 4*s.limits.txnOps {
		reply(w, 400, fields{"error": "too many operations"})
		return
	}
	for _, op := range txn.Apply {
		if len(op.Value) > s.limits.valueBytes {
			reply(w, 400, fields{"error": "value too large"})
			return
		}
		if op.Set != "" && op.Permit != 0 && s.grants[op.Permit] == nil {
			reply(w, 400, fields{"error": "no such lease"})
			return
		}
	}
	if !s.writes.take(float64(len(txn.Apply))) {
		reply(w, 429, fields{"error": "too many changes"})
		return
	}
	failed := []string{}
	for _, guard := range txn.Guards {
		stamp := uint64(0)
		if kv := s.keys[guard.Key]; kv != nil {
			stamp = kv.stamp
		}
		if stamp != guard.Stamp {
			failed = append(failed, guard.Key)
		}
	}
	if len(failed) > 0 {
		reply(w, 409, fields{"failed": failed, "epoch": s.epoch})
		return
	}
	if len(txn.Apply) > 0 {
		s.epoch++
		for _, op := range txn.Apply {
			if op.Set != "" {
				s.keys[op.Set] = &stored{op.Value, s.epoch, op.Permit}
				s.log(change{key: op.Set, value: op.Value, stamp: s.epoch})
			} else if s.keys[op.Remove] != nil {
				delete(s.keys, op.Remove)
				s.log(change{key: op.Remove, stamp: s.epoch, removed: true})
			}
		}
		s.wake()
	}
	reply(w, 200, fields{"epoch": s.epoch})
}

func (s *stateService) watch(node string, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	under := query.Get("under")
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	if err != nil {
		reply(w, 400, fields{"error": "since"})
		return
	}
	waitMS, _ := strconv.Atoi(query.Get("waitMs"))
	end := time.Now().Add(time.Duration(min(waitMS, 60000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if since < s.dropped {
			s.mu.Unlock()
			reply(w, 410, fields{"error": "too old"})
			return
		}
		events := []fields{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].stamp > since })
		for _, c := range s.history[first:] {
			if !strings.HasPrefix(c.key, under) {
				continue
			}
			if c.removed {
				events = append(events, fields{"remove": c.key, "stamp": c.stamp})
			} else {
				events = append(events, fields{"set": c.key, "v": c.value, "stamp": c.stamp})
			}
		}
		epoch, changed, refused := s.epoch, s.changed, s.refused[node]
		s.mu.Unlock()
		if !refused && (len(events) > 0 || !time.Now().Before(end)) {
			reply(w, 200, fields{"epoch": epoch, "log": events})
			return
		}
		wait := max(time.Until(end), 50*time.Millisecond) // open watches remain open while refused
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(wait):
		}
	}
}

func (s *stateService) newGrant(w http.ResponseWriter, body []byte) {
	var request struct {
		TTL int64 `json:"ttlMs"`
	}
	if json.Unmarshal(body, &request) != nil || request.TTL < 100 {
		reply(w, 400, fields{"error": "ttlMs"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(request.TTL) * time.Millisecond
	s.grants[s.nextID] = &grant{ttl, time.Now().Add(ttl)}
	reply(w, 200, fields{"permit": s.nextID})
}

func (s *stateService) useGrant(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(r.URL.Path, "/grants/"), "/touch"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.grants[id]
	switch {
	case g == nil:
		reply(w, 404, fields{"error": "no such lease"})
	case r.Method == "DELETE":
		s.endGrant(id)
		reply(w, 200, fields{})
	default:
		g.end = time.Now().Add(g.ttl)
		reply(w, 200, fields{})
	}
}

// bucket allows a rate with bursts of one second's worth.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func newBucket(rate float64) bucket { return bucket{rate, rate, time.Now()} }

func (b *bucket) take(count float64) bool {
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < count {
		return false
	}
	b.tokens -= count
	return true
}
