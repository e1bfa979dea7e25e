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

// simStateService is the key-value store as PROTOCOL describes it, section "Controller nodes ->
// state service".
type simStateService struct {
	sim      *simulation
	revision uint64
	keys     map[string]*storedValue
	log      []storedChange // all changes, oldest first
	watches  []*openWatch

	leases      map[uint64]*simLease
	lastLeaseID uint64

	writes, requests rateLimit
}

// rateLimit is a token bucket that holds the tokens of one second.
type rateLimit struct {
	tokens     float64
	refilledAt time.Duration
}

// consume consumes tokens that accrue at a rate per second, 0 for no limit, and reports whether
// there were enough.
func (l *rateLimit) consume(count int, rate float64, now time.Duration) bool {
	if rate == 0 {
		return true
	}
	l.tokens = min(rate, l.tokens+rate*(now-l.refilledAt).Seconds())
	l.refilledAt = now
	if l.tokens < float64(count) {
		return false
	}
	l.tokens -= float64(count)
	return true
}

// storedValue is a key's value with its revision and lease; lease 0 is none.
type storedValue struct {
	value    json.RawMessage
	revision uint64
	leaseID  uint64
}

// storedChange is one put or delete.
type storedChange struct {
	key      string
	value    json.RawMessage // nil: deleted
	revision uint64
}

// simLease is a lease, which ends at endsAt unless it is renewed.
type simLease struct{ ttl, endsAt time.Duration }

// openWatch is a watch request that waits for a change.
type openWatch struct {
	from     string // the controller's name
	prefix   string
	since    uint64
	reply    func(http1.Response)
	answered bool
}

// newSimStateService returns an empty state service.
func newSimStateService(sim *simulation) *simStateService {
	return &simStateService{sim: sim, keys: map[string]*storedValue{}, leases: map[uint64]*simLease{}}
}

// jsonResponse returns a response with a JSON body.
func jsonResponse(status int, body any) http1.Response {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return http1.Response{Status: status, Body: raw}
}

// put stores a value without adding a change to the log, so that no watch reports it.
func (s *simStateService) put(key string, value json.RawMessage) {
	s.revision++
	s.keys[key] = &storedValue{value, s.revision, 0}
}

// expireLeases ends the leases that have expired.
func (s *simStateService) expireLeases() {
	for id, lease := range s.leases {
		if lease.endsAt <= s.sim.now {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes the keys attached to it.
func (s *simStateService) endLease(id uint64) {
	delete(s.leases, id)
	var attached []string
	for key, stored := range s.keys {
		if stored.leaseID == id {
			attached = append(attached, key)
		}
	}
	if len(attached) == 0 {
		return
	}
	sort.Strings(attached)
	s.revision++
	for _, key := range attached {
		delete(s.keys, key)
		s.log = append(s.log, storedChange{key, nil, s.revision})
	}
	s.notifyWatches()
}

// notifyWatches answers the open watches that have changes to report.
func (s *simStateService) notifyWatches() {
	for _, watch := range s.watches {
		if !watch.answered && !s.unavailableTo(watch.from) && !s.sim.stateFaults.isSilent(watch.prefix, watch.from) {
			if response, changed := s.changes(watch.prefix, watch.since); changed {
				watch.answered = true
				watch.reply(response)
			}
		}
	}
	s.watches = slices.DeleteFunc(s.watches, func(watch *openWatch) bool { return watch.answered })
}

// changes returns the answer to a watch, and whether it contains any change.
func (s *simStateService) changes(prefix string, since uint64) (http1.Response, bool) {
	list := []map[string]any{}
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].revision > since })
	for _, change := range s.log[first:] {
		if !strings.HasPrefix(change.key, prefix) {
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

// serve executes a request and answers it.
func (s *simStateService) serve(from string, request http1.ClientRequest, reply func(http1.Response)) {
	if s.unavailableTo(from) {
		reply(jsonResponse(503, map[string]string{"error": "trouble"}))
		return
	}
	if !s.requests.consume(1, s.sim.stateLimits.requestsPerSecond, s.sim.now) {
		reply(jsonResponse(429, map[string]string{"error": "too many requests"}))
		return
	}
	s.expireLeases()
	target, err := url.Parse(request.Target)
	if err != nil {
		reply(jsonResponse(400, nil))
		return
	}
	switch {
	case target.Path == "/commit":
		reply(s.commit(request.Body))
	case target.Path == "/watch":
		s.watch(from, target.Query(), reply)
	case target.Path == "/keys":
		reply(s.list(target.Query()))
	case target.Path == "/grants":
		reply(s.grantLease(request.Body))
	case strings.HasPrefix(target.Path, "/grants/"):
		id, _ := strconv.ParseUint(strings.Split(target.Path, "/")[2], 10, 64)
		reply(s.renewOrEndLease(request.Method, id))
	default:
		reply(jsonResponse(404, nil))
	}
}

// watch answers GET /watch at the first change or at the end of its waiting time.
func (s *simStateService) watch(from string, query url.Values, reply func(http1.Response)) {
	prefix := query.Get("under")
	if s.sim.stateFaults.isSilent(prefix, from) {
		return
	}
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("waitMs"))
	response, changed := s.changes(prefix, since)
	if changed || waitMS == 0 {
		reply(response)
		return
	}
	open := &openWatch{from: from, prefix: prefix, since: since, reply: reply}
	s.watches = append(s.watches, open)
	s.sim.schedule(time.Duration(waitMS)*time.Millisecond, func() {
		if !open.answered && !s.unavailableTo(from) && !s.sim.stateFaults.isSilent(prefix, from) {
			open.answered = true
			response, _ := s.changes(prefix, since)
			reply(response)
		}
	})
}

// simPageSize is the number of key-values in one answer unless a day sets another. It is small, so
// that controllers read several pages.
const simPageSize = 3

// list answers GET /keys with a page of keys and their values.
func (s *simStateService) list(query url.Values) http1.Response {
	pageSize := simPageSize
	if limit := s.sim.stateLimits.pageSize; limit > 0 {
		pageSize = limit
	}
	var names []string
	for key := range s.keys {
		if strings.HasPrefix(key, query.Get("under")) && key > query.Get("since") {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	var rows []map[string]any
	for _, key := range names[:min(pageSize, len(names))] {
		rows = append(rows, map[string]any{"key": key, "v": s.keys[key].value, "stamp": s.keys[key].revision})
	}
	return jsonResponse(200, map[string]any{"rows": rows, "hasNext": len(names) > pageSize, "epoch": s.revision})
}

// grantLease answers POST /grants.
func (s *simStateService) grantLease(raw []byte) http1.Response {
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	if json.Unmarshal(raw, &body) != nil || body.TTL < 100 {
		return jsonResponse(400, nil)
	}
	s.lastLeaseID++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.lastLeaseID] = &simLease{ttl, s.sim.now + ttl}
	s.scheduleLeaseEnd(s.lastLeaseID)
	return jsonResponse(200, map[string]uint64{"permit": s.lastLeaseID})
}

// renewOrEndLease answers POST /grants/{id}/touch and DELETE /grants/{id}.
func (s *simStateService) renewOrEndLease(method string, id uint64) http1.Response {
	lease := s.leases[id]
	switch {
	case lease == nil:
		return jsonResponse(404, nil)
	case method == "DELETE":
		s.endLease(id)
	default:
		lease.endsAt = s.sim.now + lease.ttl
	}
	return jsonResponse(200, nil)
}

// scheduleLeaseEnd ends a lease when it expires, but not during an outage.
func (s *simStateService) scheduleLeaseEnd(id uint64) {
	lease := s.leases[id]
	if lease == nil {
		return
	}
	s.sim.schedule(max(lease.endsAt-s.sim.now, 50*time.Millisecond), func() {
		if lease := s.leases[id]; lease != nil && lease.endsAt <= s.sim.now && !s.sim.stateFaults.outage {
			s.endLease(id)
		}
		s.scheduleLeaseEnd(id)
	})
}

// renewAllLeases renews every lease for its full TTL, as after an outage.
func (s *simStateService) renewAllLeases() {
	for _, lease := range s.leases {
		lease.endsAt = s.sim.now + lease.ttl
	}
}

// transaction is the body of POST /commit.
type transaction struct {
	Conditions []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"stamp"`
	} `json:"guards"`
	Operations []struct {
		Set     string          `json:"set"`
		Value   json.RawMessage `json:"v"`
		LeaseID uint64          `json:"permit"`
		Remove  string          `json:"remove"`
	} `json:"apply"`
}

// commit answers POST /commit: it executes a transaction if its conditions hold.
func (s *simStateService) commit(raw []byte) http1.Response {
	var body transaction
	err := json.Unmarshal(raw, &body)
	limits := s.sim.stateLimits
	if err != nil || len(body.Operations) > limits.operations || len(body.Conditions) > 4*limits.operations || len(raw) > 64<<10 {
		if limits.undeclared && err == nil {
			return jsonResponse(400, map[string]string{"error": "too many changes in a commit"})
		}
		s.sim.checker.recordViolation(ruleStateLimit, "a commit has %d operations, %d conditions, %d bytes", len(body.Operations), len(body.Conditions), len(raw))
		return jsonResponse(400, nil)
	}
	if refusal := s.refuseOperations(&body); refusal != nil {
		return *refusal
	}
	if !s.writes.consume(len(body.Operations), limits.writesPerSecond, s.sim.now) {
		return jsonResponse(429, map[string]string{"error": "too many changes"})
	}
	if failed := s.failedConditions(&body); len(failed) > 0 {
		return jsonResponse(409, map[string]any{"failed": failed, "epoch": s.revision})
	}
	s.apply(&body)
	return jsonResponse(200, map[string]uint64{"epoch": s.revision})
}

// refuseOperations returns the refusal of a transaction with an invalid operation, whether or
// not its conditions hold; nil if all operations are valid.
func (s *simStateService) refuseOperations(body *transaction) *http1.Response {
	limits := s.sim.stateLimits
	refuse := func(body any) *http1.Response {
		response := jsonResponse(400, body)
		return &response
	}
	for _, operation := range body.Operations {
		if operation.LeaseID != 0 && s.leases[operation.LeaseID] == nil {
			return refuse(map[string]string{"error": "no such lease"})
		}
		if len(operation.Value) > limits.valueBytes {
			if limits.undeclared {
				return refuse(map[string]string{"error": "value too large"})
			}
			s.sim.checker.recordViolation(ruleStateLimit, "a value of %d bytes is written to %s", len(operation.Value), operation.Set)
			return refuse(nil)
		}
	}
	return nil
}

// failedConditions returns the keys whose revision differs from the one that a transaction
// demands.
func (s *simStateService) failedConditions(body *transaction) []string {
	var failed []string
	for _, condition := range body.Conditions {
		revision := uint64(0)
		if stored := s.keys[condition.Key]; stored != nil {
			revision = stored.revision
		}
		if revision != condition.Revision {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// apply executes the operations of a transaction and notifies the watches. A write of a lease
// key of the leader or of a shard releases the retained heartbeats.
func (s *simStateService) apply(body *transaction) {
	if len(body.Operations) == 0 {
		return
	}
	s.revision++
	for _, operation := range body.Operations {
		if operation.Remove != "" {
			delete(s.keys, operation.Remove)
			s.log = append(s.log, storedChange{operation.Remove, nil, s.revision})
			continue
		}
		s.keys[operation.Set] = &storedValue{operation.Value, s.revision, operation.LeaseID}
		if strings.HasPrefix(operation.Set, "lease/block/") || operation.Set == "lease/lead" {
			s.sim.releaseRetainedHeartbeats()
			s.sim.releaseRetainedCommands()
		}
		s.log = append(s.log, storedChange{operation.Set, operation.Value, s.revision})
	}
	s.notifyWatches()
}
