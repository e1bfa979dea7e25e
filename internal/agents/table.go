package agents

import (
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"time"

	"lemonmoor/internal/engine"
	"lemonmoor/internal/httpwire"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/work"
)

// Host is one machine.
type Host struct {
	ID    string
	Addr  string
	Zone  string
	Spot  bool
	Build string
	Type  *jobs.MachineType

	// Up: its worker has reported to this process.
	Up          bool
	Shift, Tick uint64
	Token       uint64        // highest the worker has shown
	Heard       time.Duration // its newest report
	Known       time.Duration // when this process first knew of it
	// LeaseFrom bounds from when the worker's lease last ran: no answer that
	// renews it was given to a report received later.
	LeaseFrom time.Duration
	Notice    time.Duration // when the cloud takes it, 0: no notice
	Draining  string        // why it gets no more tasks, "" if it does
	Silent    bool          // its lease has run out unheard
	Idle      time.Duration // since when it has had no tasks

	Tasks map[*work.Task]bool // placed here
	// Fetching counts those of them that do not run yet: they wait for their
	// image, as far as one can tell.
	Fetching int
	// Stray holds tasks that the worker lists and the records do not.
	Stray  int
	CPUs   float64 // taken by Tasks
	Cards  float64
	Memory float64
	// ServiceCPUs is the part of CPUs that replicas of services take.
	ServiceCPUs float64

	// KeptCPUs, KeptCards and KeptMemory are kept for gangs to come.
	KeptCPUs, KeptCards, KeptMemory float64

	Refused time.Duration // no tasks before, after it said it is full
	// Unheard counts reports in a row that were answered under a token which
	// the next did not show, Lost launches in a row that never showed: proof
	// that it reports, but does not hear. Deaf: found so, and when.
	Unheard int
	Lost    int
	Deaf    bool
	deaf    time.Duration
	probed  time.Duration

	missed  time.Duration // when an order last went unanswered
	Failed  int           // tasks that failed here since one ran well
	FailedJ map[string]bool
	flying  bool    // a direct order is under way
	ends    []Order // halts that an answer may not carry, see Table.outlives
	ask     bool    // how its tasks are is to be asked directly
	inLine  bool    // to be told of the token
	images  Cache
}

// Free is what new tasks may take.
func (h *Host) Free() (cpus, cards, memory float64) {
	if h.Type == nil || h.Stray > 0 {
		return 0, 0, 0
	}
	return h.Type.CPUs - h.CPUs, h.Type.Cards - h.Cards, h.Type.MemoryGB - h.Memory
}

// Add notes that a task takes room on the machine.
func (h *Host) Add(k *work.Task) {
	d := k.Job.Desc
	h.Tasks[k] = true
	h.CPUs += d.CPUs
	h.Cards += d.Cards
	h.Memory += d.MemoryGB
	if d.Service() {
		h.ServiceCPUs += d.CPUs
	}
	h.Use(d.Image, d.ImageGB)
}

// Remove notes that a task has left its room on the machine.
func (h *Host) Remove(k *work.Task) {
	d := k.Job.Desc
	delete(h.Tasks, k)
	h.CPUs -= d.CPUs
	h.Cards -= d.Cards
	h.Memory -= d.MemoryGB
	if d.Service() {
		h.ServiceCPUs -= d.CPUs
	}
	if len(h.Tasks) == 0 { // sums of decimal amounts are not exact
		h.CPUs, h.Cards, h.Memory, h.ServiceCPUs = 0, 0, 0, 0
	}
}

// Caches tells whether the machine has, or is fetching, an image.
func (h *Host) Caches(image string) bool { return h.images.Has(image) }

// Images lists the images that the machine has.
func (h *Host) Images() []string {
	names := make([]string, len(h.images))
	for i, c := range h.images {
		names[i] = c.name
	}
	return names
}

// Use notes that a task with an image starts on the machine.
func (h *Host) Use(image string, gb float64) { h.images.Use(image, gb, h.Type) }

// Office is what the table asks of the block's lease.
type Office interface {
	Token() uint64
	Valid() bool
	// Answering tells whether reports are answered, and so taken in: only on
	// knowledge of cancellations that is young enough.
	Answering() bool
	Renew()
	// Fresh tells whether the jobs not known to be cancelled are proven not to have
	// been so at or after a moment, lately; if not, a proof is asked for.
	Fresh(since time.Duration) bool
	// AnsweredBefore is when the last earlier owner stops answering, at the latest.
	AnsweredBefore() time.Duration
}

// Shelf is what the table asks of the block's records.
type Shelf interface {
	IsLoaded() bool
	Job(id string) *work.Job
	// CancelledFor is how long ago a job's user can have been told that it is
	// cancelled, at most, if it is.
	CancelledFor(id string) (time.Duration, bool)
	Jobs(func(*work.Job))
	Changed(t *work.Task, urgent bool)
	TaskDone(t *work.Task)
	Drop(t *work.Task)
}

// Table holds all machines.
type Table struct {
	// Waiting is called for a task that has become free for another machine.
	Waiting func(*work.Task)
	// Type finds a machine type by its label.
	Type     func(label string) *jobs.MachineType
	rt       engine.Runtime
	office   Office
	book     Shelf
	set      *settings.Settings
	log      *slog.Logger
	hosts    map[string]*Host
	list     []*Host       // in the order of their names
	begun    time.Duration // this term
	since    time.Duration // when reports began to be taken in, this time
	ready    map[*Host]bool
	held     map[*Host]bool  // have launches that wait for a proof, see Office.Fresh
	heldAt   time.Duration   // the newest placement of those
	greets   []*Host         // to be told of the token
	greeting int             // being told
	gone     map[string]bool // returned machines
	zones    map[string]*zone
}

// zone is what the table knows of a zone as a whole: one that is cut off falls
// silent at once, long before each of its machines is late.
type zone struct {
	heard time.Duration // the newest report from it
	up    int           // machines there that have reported, as of the last Tick
}

// NewTable returns an empty table.
func NewTable(rt engine.Runtime, office Office, book Shelf, set *settings.Settings, log *slog.Logger) *Table {
	return &Table{rt: rt, office: office, book: book, set: set, log: log,
		hosts: map[string]*Host{}, ready: map[*Host]bool{}, held: map[*Host]bool{}, gone: map[string]bool{}, zones: map[string]*zone{}}
}

// zone finds or makes a zone's entry.
func (t *Table) zone(name string) *zone {
	z := t.zones[name]
	if z == nil {
		z = &zone{}
		t.zones[name] = z
	}
	return z
}

// Lit lists the zones from which something has been heard of late.
func (t *Table) Lit() []string {
	var list []string
	for name, z := range t.zones {
		if z.heard > 0 && t.rt.Now()-z.heard <= tuning.DarkAfter {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// dark tells whether a zone seems to be cut off: many machines report from it,
// and none has for a while, though others are heard.
func (t *Table) dark(name string) bool {
	z := t.zones[name]
	if z == nil || !t.set.Dark(z.up, t.rt.Now()-max(z.heard, t.since)) {
		return false
	}
	for _, o := range t.zones {
		if o.heard > z.heard+tuning.DarkAfter/2 {
			return true
		}
	}
	return false
}

// Begin starts a term: whatever the records place may be on its machine under
// an earlier token, and any earlier owner may have answered reports until now
// plus the hold.
func (t *Table) Begin() {
	t.begun = t.rt.Now()
	t.since = t.begun
	for _, h := range t.hosts {
		h.Tasks = map[*work.Task]bool{}
		h.CPUs, h.Cards, h.Memory, h.flying, h.Stray, h.Fetching = 0, 0, 0, false, 0, 0
		// Between two tokens of its own a process knows what it has answered.
		h.LeaseFrom = max(h.LeaseFrom, t.office.AnsweredBefore())
		h.Silent, h.inLine = false, false
		h.hears()
	}
	clear(t.ready)
	clear(t.held)
	t.greets, t.greeting = nil, 0
	// Those heard of late come first: hundreds that are cut off or dead, each of
	// which is waited for, must not keep the others waiting.
	for _, late := range []bool{false, true} {
		for _, h := range t.list {
			if (t.begun-h.Heard > t.set.DeadAfter()) == late {
				t.Greet(h.ID, h.Addr)
			}
		}
	}
	token := t.office.Token()
	t.book.Jobs(func(j *work.Job) {
		if j.Gang != nil {
			t.take(j)
		}
		for _, c := range j.Chunks {
			for _, k := range c.Tasks {
				if k.State == work.Placed {
					k.MinToken, k.Sent = token, true
					t.occupy(t.host(k.Host), k)
				}
			}
		}
	})
}

// Greet tells a machine of the present token, directly: it need not come with
// its next report first, which may be ten seconds away, before it gets tasks
// again. The machine then reports at once.
func (t *Table) Greet(id, addr string) {
	if addr == "" || t.gone[id] {
		return
	}
	h := t.host(id)
	if h.Addr == "" {
		h.Addr = addr
	}
	if h.Token < t.office.Token() && !h.Deaf && !h.inLine {
		h.inLine = true
		t.greets = append(t.greets, h)
	}
}

// greet sends what Greet has put in line, a few at a time.
func (t *Table) greet() {
	for t.greeting < tuning.GreetAhead && len(t.greets) > 0 {
		h := t.greets[0]
		t.greets, h.inLine = t.greets[1:], false
		token := t.office.Token()
		if h.Token >= token || t.hosts[h.ID] != h || t.dark(h.Zone) {
			continue
		}
		// Of a machine that this process has not heard of, the session is a
		// guess; refused for another one, the message does no harm.
		body, err := json.Marshal(Orders{Token: token, Shift: max(h.Shift, 1), Orders: t.halts(h, []Order{})})
		if err != nil {
			return
		}
		t.greeting++
		begun := t.begun
		t.rt.Call(h.Addr, httpwire.Call{Method: "POST", Target: "/orders", Body: body}, tuning.GreetTimeout,
			func(ans httpwire.Answer, err error) {
				if t.begun != begun || t.office.Token() != token {
					return // a new term greets anew
				}
				t.greeting--
				if t.hosts[h.ID] == h && err == nil {
					t.greeted(h, ans.Body, token)
				}
			})
	}
}

// greeted takes the answer to a greeting: the worker's report. It proves that
// the machine hears, and what it lists; like any answer to an order it proves
// nothing gone.
func (t *Table) greeted(h *Host, body []byte, token uint64) {
	r, err := ParseReport(body)
	if err != nil || r.Host != h.ID || r.Token != token || r.Shift < h.Shift {
		return
	}
	if !h.Up {
		h.Up, h.Addr, h.Build, h.Zone, h.Spot = true, r.Addr, r.Build, r.Zone, r.Spot
		h.Type = t.Type(r.Build)
	}
	if h.Shift == 0 {
		h.Shift = r.Shift
	}
	h.Heard = t.rt.Now()
	if r.Shift == h.Shift && r.Tick > h.Tick {
		t.read(h, r, false)
	}
}

// End forgets what only holds for a term.
func (t *Table) End() {
	for _, h := range t.hosts {
		h.Tasks = map[*work.Task]bool{}
		h.CPUs, h.Cards, h.Memory, h.flying, h.Stray, h.Fetching = 0, 0, 0, false, 0, 0
	}
	clear(t.ready)
	clear(t.held)
}

// host finds or makes a machine's entry.
func (t *Table) host(id string) *Host {
	h := t.hosts[id]
	if h == nil {
		now := t.rt.Now()
		h = &Host{ID: id, Known: now, Idle: now, LeaseFrom: max(now, t.office.AnsweredBefore()),
			Tasks: map[*work.Task]bool{}, FailedJ: map[string]bool{}}
		t.hosts[id] = h
		i, _ := slices.BinarySearchFunc(t.list, id, func(h *Host, id string) int { return strings.Compare(h.ID, id) })
		t.list = slices.Insert(t.list, i, h)
	}
	return h
}

// Get finds a machine.
func (t *Table) Get(id string) *Host { return t.hosts[id] }

// All returns the machines in the order of their names. The list is the table's
// own.
func (t *Table) All() []*Host { return t.list }

// Open tells whether a machine may be given tasks now. One that has left an
// order unanswered gets none before its next report: what is placed on a machine
// that is cut off or dead waits there until its lease has run out.
func (t *Table) Open(h *Host) bool {
	now := t.rt.Now()
	suspect := time.Duration(float64(t.set.Report()) * tuning.SuspectReports)
	return h.Up && !h.Silent && !h.Deaf && h.Draining == "" && h.Type != nil && h.Stray == 0 &&
		h.Token >= t.office.Token() && now-h.Heard < suspect && now >= h.Refused &&
		h.missed <= h.Heard && !t.dark(h.Zone)
}

func (t *Table) occupy(h *Host, k *work.Task) {
	if !k.Imaged {
		h.Fetching++
	}
	h.Add(k)
}

func (t *Table) vacate(h *Host, k *work.Task) {
	if !h.Tasks[k] {
		return
	}
	h.Remove(k)
	if len(h.Tasks) == 0 {
		h.Idle = t.rt.Now()
	}
	if !k.Imaged {
		h.Fetching--
	}
	k.Running, k.Imaged = false, false
}

// Place gives a waiting task to a machine. The launch leaves once the
// placement is durable.
func (t *Table) Place(k *work.Task, h *Host) {
	if g := k.Job.Gang; g != nil && !h.Caches(k.Job.Desc.Image) {
		g.Cold++
	}
	k.Placing(h.ID)
	k.At = t.rt.Now()
	t.office.Fresh(k.At) // the proof comes while the placement is committed
	k.MinToken, k.Shift, k.Tick = t.office.Token(), 0, 0
	t.occupy(h, k)
	t.book.Changed(k, true)
}

// Launchable notes that a placement is durable.
func (t *Table) Launchable(k *work.Task) {
	if k.Job.Gang != nil {
		if k.Launchable() { // with the last of a gang, all of it
			t.log.Debug("gang placed", "job", k.Job.Desc.ID, "attempt", k.Try(), "tasks", len(k.Job.Tasks), "fetching", k.Job.Gang.Cold,
				"age_s", float64(t.rt.Wall().UnixMilli()-k.Job.Submitted)/1000)
			for _, o := range k.Job.Tasks {
				if h := t.hosts[o.Host]; h != nil {
					t.ready[h] = true
				}
			}
		}
		return
	}
	if h := t.hosts[k.Host]; h != nil {
		t.ready[h] = true
	}
}

// proveGone ends a placement: the task is surely not on its machine. how only
// matters for a gang.
func (t *Table) proveGone(h *Host, k *work.Task, how work.Loss) {
	t.vacate(h, k)
	k.State, k.Host = work.Waiting, ""
	k.Durable, k.Sent, k.Flying, k.Doubt, k.Seen, k.Stopping, k.Told, k.Ran = false, false, false, false, false, false, false, false
	if k.Job.Cancelled {
		t.book.Drop(k)
		return
	}
	if g := k.Job.Gang; g != nil {
		if g.Done {
			t.book.TaskDone(k)
			return
		}
		t.lost(k, how)
	}
	t.book.Changed(k, false)
	t.Waiting(k)
}

// leaseEnd is when all tasks of a machine that stays silent are surely gone.
func (t *Table) leaseEnd(h *Host) time.Duration {
	lease := t.set.WorkerLease()
	return h.LeaseFrom + lease + lease*tuning.DriftPerMille/1000 + tuning.GoneMargin
}

// halts adds the orders that end what a machine may have of cancelled jobs. They are
// repeated until each task is proven gone, by whichever message there is: a halt
// names the attempt, so that repeated or late it does no harm.
func (t *Table) halts(h *Host, orders []Order) []Order {
	now := t.rt.Now()
	for k := range h.Tasks {
		if k.Job.Cancelled && k.Sent && len(orders) < tuning.OrdersPerMessage {
			k.Halted = now
			orders = append(orders, halt(k.Ref(), k.Try(), 0))
		}
	}
	return orders
}

// Cancel has the tasks of a cancelled job halted at once: with the next report the
// order would leave seconds later, and a machine whose reports are lost can still
// be reached.
func (t *Table) Cancel(j *work.Job) {
	for _, k := range j.Tasks {
		if h := t.hosts[k.Host]; h != nil && k.State == work.Placed {
			t.ready[h] = true
		}
	}
}

// outlives tells whether a machine may have a task of a job that was cancelled so
// long ago that an answer could keep it alive past the users' limit: the worker's
// lease runs on from the report, and nothing more may reach it. Such a machine is
// not answered until the task is proven gone, by direct orders if they reach it, by
// the end of its lease if not.
func (t *Table) outlives(h *Host, r *Report) bool {
	old := func(job string) bool {
		age, cancelled := t.book.CancelledFor(job)
		return cancelled && age >= t.set.AnswerWithin()
	}
	for k := range h.Tasks {
		if k.Job.Cancelled && k.Sent && old(k.Job.Desc.ID) {
			return true
		}
	}
	for i := range r.Tasks {
		if job, _, ok := splitRef(r.Tasks[i].Task); ok && r.Tasks[i].Phase != "ended" && old(job) {
			return true
		}
	}
	return false
}

// Tick looks for machines whose lease has run out and for placements that can
// no longer be launched.
func (t *Table) Tick() {
	if !t.book.IsLoaded() {
		return
	}
	now := t.rt.Now()
	if !t.office.Answering() {
		// In an outage of the state service that outlasts the hold, reports are
		// turned away: that is no silence of the machines.
		t.since = now
	}
	for _, z := range t.zones {
		z.up = 0
	}
	for _, h := range t.list {
		if h.Up {
			t.zone(h.Zone).up++
		}
		if h.Deaf {
			t.probe(h)
			if len(h.Tasks) == 0 && h.Draining == "" && now-h.deaf > t.set.WorkerLease() {
				t.Drain(h.ID, deafDrain) // settled, and it has not come back
			}
		}
		for k := range h.Tasks {
			if k.Sent {
				if k.Job.Cancelled && now-k.Halted >= tuning.HaltEvery {
					t.Greet(h.ID, h.Addr) // if it has not seen the token
					t.ready[h] = true
				}
				t.move(h, k, now)
				continue
			}
			// Never launched: free for another machine when this one does
			// not take tasks any more.
			if g := k.Job.Gang; (g != nil && (g.Over || g.Done)) || h.Draining != "" || h.Deaf || k.Job.Cancelled || (h.Up && now-h.Heard > t.set.DeadAfter()/2) || !h.Up {
				t.proveGone(h, k, work.Unready)
			}
		}
		if !h.Silent && now > t.leaseEnd(h) && len(h.Tasks) > 0 {
			t.log.Info("worker lease has run out", "host", h.ID, "tasks", len(h.Tasks))
			h.Silent = true
			t.clear(h)
		}
	}
	t.book.Jobs(func(j *work.Job) {
		if j.Gang != nil {
			t.tend(j, now)
		}
	})
}

// move stops a running task that has to go on elsewhere: a replica on a machine
// that is drained, or one that can save, in time before the cloud takes its
// machine. The machine is told at once, and with each report until it is gone.
func (t *Table) move(h *Host, k *work.Task, now time.Duration) {
	d := k.Job.Desc
	saves := d.SaveEvery > 0 && h.Notice > 0 &&
		now > h.Notice-time.Duration(d.SaveS*float64(time.Second))-tuning.NoticeReserve-tuning.SaveMargin
	if h.Draining == "" || k.Stopping || !k.Running || k.Job.Gang != nil || !(d.Service() || saves) {
		return
	}
	k.Stop(d.SaveS)
	t.ready[h] = true
	t.log.Info("moving task", "host", h.ID, "task", k.Ref(), "why", h.Draining)
}

// Discard takes a task that was never launched off its machine; its record is
// gone.
func (t *Table) Discard(k *work.Task) {
	if h := t.hosts[k.Host]; h != nil {
		t.vacate(h, k)
	}
}

// clear proves all tasks of a machine gone.
func (t *Table) clear(h *Host) {
	for k := range h.Tasks {
		t.proveGone(h, k, work.Vanished)
	}
}

// Returned notes that the cloud has taken a machine back at our request: it
// and all that was on it are gone.
func (t *Table) Returned(id string) {
	t.gone[id] = true
	h := t.hosts[id]
	if h == nil {
		return
	}
	t.clear(h)
	delete(t.hosts, id)
	t.list = slices.DeleteFunc(t.list, func(o *Host) bool { return o == h })
	delete(t.ready, h)
	delete(t.held, h)
}

// Drain stops new tasks on a machine.
func (t *Table) Drain(id, why string) {
	if h := t.hosts[id]; h != nil && h.Draining == "" {
		h.Draining = why
		t.log.Info("draining machine", "host", id, "why", why)
	}
}

// Silent is why a machine is given back that no longer reports; SilentUrgent is
// why one that may have urgent tasks on it: returned, they are surely gone, and
// can run elsewhere before its lease would have run out.
const (
	Silent       = "silent"
	SilentUrgent = "silent with urgent tasks"
)

// GiveBack tells whether, and why, the owner wants a machine returned now:
// nothing on it is lost by that, or it is lost already.
func (t *Table) GiveBack(h *Host, silent, up int) string {
	now := t.rt.Now()
	switch {
	case !h.Up:
		return ""
	case h.Notice > 0 && (now > h.Notice-tuning.NoticeReserve || (len(h.Tasks) == 0 && h.Stray == 0)):
		return "taken by the cloud"
	case t.Quiet(h) && silent*2 <= up:
		for k := range h.Tasks {
			if k.Job.Desc.Priority() >= jobs.High {
				return SilentUrgent
			}
		}
		return Silent
	case h.Draining != "" && h.Notice == 0 && len(h.Tasks) == 0 && (h.Stray == 0 || h.Draining == deafDrain):
		return h.Draining
	}
	return ""
}

// Quiet tells whether a machine has not reported for suspiciously long.
func (t *Table) Quiet(h *Host) bool {
	return h.Up && t.rt.Now()-max(h.Heard, t.since) > t.set.DeadAfter()
}

// Unreachable answers for a node that may not act for the controllers.
var Unreachable = httpwire.ErrorBody("not the owner of this machine")

// Report takes a worker's report and gives its answer.
func (t *Table) Report(r *Report) (status int, body []byte) {
	token := t.office.Token()
	if token == 0 || r.Token > token || t.gone[r.Host] {
		return 503, Unreachable
	}
	now := t.rt.Now()
	h := t.host(r.Host)
	if r.Shift < h.Shift || (r.Shift == h.Shift && r.Tick <= h.Tick && h.Up) {
		// A report that was held back: its list is old, and nobody waits
		// for its answer.
		return 503, Unreachable
	}
	h.Heard = now
	t.zone(r.Zone).heard = now
	if !h.Up || h.Build != r.Build || h.Addr != r.Addr {
		h.Up, h.Addr, h.Build, h.Zone, h.Spot = true, r.Addr, r.Build, r.Zone, r.Spot
		h.Type = t.Type(r.Build)
	}
	if h.Type == nil {
		h.Type = t.Type(r.Build)
	}
	if r.Token >= token || r.Token > h.Token {
		h.Unheard = 0
	} else {
		h.Unheard++
	}
	if !t.book.IsLoaded() {
		h.Shift, h.Tick, h.Token = r.Shift, r.Tick, r.Token
		if t.outlives(h, r) {
			return 503, Unreachable
		}
		h.Silent, h.LeaseFrom = false, now
		return t.answer(token, t.cancelled(r))
	}
	orders := t.read(h, r, true)
	t.listen(h)
	h.ends = nil
	outlives := t.outlives(h, r)
	if outlives {
		h.ends = t.cancelled(r) // they go directly, tasks that the records do not have too
		t.ready[h] = true
	}
	if h.Deaf || outlives {
		// Not answered, so that its lease surely runs from the last answer
		// that it can have heard, and its tasks are settled by that.
		return 503, Unreachable
	}
	h.Silent, h.LeaseFrom = false, now
	return t.answer(token, orders)
}

// cancelled gives the orders that end the tasks of cancelled jobs in a report.
func (t *Table) cancelled(r *Report) []Order {
	var orders []Order
	for i := range r.Tasks {
		l := &r.Tasks[i]
		job, _, ok := splitRef(l.Task)
		if !ok || l.Phase == "ended" || len(orders) >= tuning.OrdersPerMessage {
			continue
		}
		if _, off := t.book.CancelledFor(job); off {
			orders = append(orders, halt(l.Task, l.Attempt, 0))
		}
	}
	return orders
}

// listen decides whether a machine that reports hears us too. To have been heard
// is no proof of that: seen as alive, it swallowed task after task.
func (t *Table) listen(h *Host) {
	if h.Deaf || (h.Unheard < tuning.DeafReports && h.Lost < tuning.DeafLaunches) {
		return
	}
	h.Deaf, h.deaf, h.probed = true, t.rt.Now(), t.rt.Now()
	t.log.Info("machine reports but does not hear", "host", h.ID, "unheard", h.Unheard, "lost", h.Lost)
}

// probe asks a deaf machine directly. No order is in the message and it renews
// no lease; its answer is the proof that the machine hears again.
func (t *Table) probe(h *Host) {
	now := t.rt.Now()
	if now-h.probed < tuning.ProbeEvery {
		return
	}
	h.probed = now
	token := t.office.Token()
	body, err := json.Marshal(Orders{Token: token, Shift: h.Shift, Orders: t.halts(h, []Order{})})
	if err != nil {
		return
	}
	t.rt.Call(h.Addr, httpwire.Call{Method: "POST", Target: "/orders", Body: body}, tuning.OrderTimeout,
		func(ans httpwire.Answer, err error) {
			if err != nil || t.office.Token() != token || t.hosts[h.ID] != h || !h.Deaf {
				return
			}
			r, err := ParseReport(ans.Body)
			if err != nil || r.Host != h.ID || r.Token < token {
				return
			}
			t.log.Info("machine hears again", "host", h.ID)
			h.hears()
			if h.Draining == deafDrain {
				h.Draining = ""
			}
		})
}

func (h *Host) hears() { h.Deaf, h.Unheard, h.Lost = false, 0, 0 }

const deafDrain = "does not hear"

// Deaf tells how many of the machines that report do not hear, and how many
// report.
func (t *Table) Deaf() (deaf, up int) {
	for _, h := range t.list {
		if h.Up && !h.Silent {
			up++
			if h.Deaf {
				deaf++
			}
		}
	}
	return deaf, up
}

func (t *Table) answer(token uint64, orders []Order) (int, []byte) {
	if orders == nil {
		orders = []Order{}
	}
	body, err := json.Marshal(Orders{Token: token, Orders: orders})
	if err != nil {
		return 503, Unreachable
	}
	return 200, body
}

// read compares a report with the records and returns the orders that follow.
// beat: it is a report of the worker's own, not the answer to an order; only
// those prove tasks gone and carry launches, since an order's answer may be
// older than the worker's reading of our last answer.
func (t *Table) read(h *Host, r *Report, beat bool) []Order {
	later := r.Shift > h.Shift && h.Up && h.Shift > 0
	h.Token = max(h.Token, r.Token)
	if beat {
		// Answers to orders do not count here: a report that left before
		// such an answer may arrive after it, and is not a late one.
		h.Shift, h.Tick = r.Shift, r.Tick
	}
	if r.Notice != nil {
		h.Notice = t.rt.Now() + time.Duration(*r.Notice*float64(time.Second))
		if h.Draining == "" {
			h.Draining = "spot notice"
			t.log.Info("spot notice", "host", h.ID, "seconds", *r.Notice)
		}
	}
	acked := r.Token >= t.office.Token()
	listed := make(map[*work.Task]bool, len(r.Tasks))
	var orders []Order
	h.Stray = 0
	for i := range r.Tasks {
		orders = t.listed(h, &r.Tasks[i], listed, acked, orders)
	}
	if beat {
		lost := false
		for k := range h.Tasks {
			if listed[k] || !k.Sent || k.Flying {
				continue
			}
			switch {
			case k.Shift > 0 && r.Shift > k.Shift, later && k.Seen:
				// A later session: the worker killed all of the earlier one.
				t.proveGone(h, k, work.Vanished)
			case r.Token >= k.MinToken && acked && !k.Doubt && (k.Shift == 0 || (r.Shift == k.Shift && r.Tick > k.Tick)):
				lost = lost || (k.Shift > 0 && !k.Seen)
				t.proveGone(h, k, work.Vanished)
			case k.Doubt:
				// The order may still be under way; a new token settles it.
				t.log.Info("order in doubt, renewing the token", "host", h.ID, "task", k.Ref())
				t.office.Renew()
			}
		}
		if lost {
			h.Lost++
		}
	}
	if !acked {
		// The worker has not seen the token yet, so its list decides little; what
		// is cancelled ends all the same.
		return t.cancelled(r)
	}
	for k := range h.Tasks {
		if !listed[k] {
			continue
		}
		switch {
		case k.Job.Cancelled:
			orders = append(orders, halt(k.Ref(), k.Try(), 0))
		case k.Stopping:
			orders = append(orders, halt(k.Ref(), k.Try(), k.WindDown))
		}
	}
	if beat && t.office.Valid() && h.Draining == "" && !h.Deaf {
		for k := range h.Tasks {
			if len(orders) < tuning.OrdersPerMessage && k.Launchable() && t.office.Fresh(k.At) {
				k.Sent, k.Shift, k.Tick = true, r.Shift, r.Tick
				orders = append(orders, Order{Verb: "launch", Task: k.Ref(), Attempt: k.Try()})
			}
		}
	}
	if len(orders) > tuning.OrdersPerMessage {
		orders = orders[:tuning.OrdersPerMessage]
	}
	return orders
}

func halt(ref string, attempt uint64, windDown float64) Order {
	return Order{Verb: "halt", Task: ref, Attempt: attempt, WindDown: &windDown}
}

// listed takes one task of a report.
func (t *Table) listed(h *Host, l *Listed, seen map[*work.Task]bool, acked bool, orders []Order) []Order {
	var k *work.Task
	if id, index, ok := splitRef(l.Task); ok {
		if j := t.book.Job(id); j != nil {
			k = j.Tasks[index]
		}
	}
	forget := Order{Verb: "forget", Task: l.Task, Attempt: l.Attempt}
	if k == nil || k.State != work.Placed || k.Host != h.ID || k.Try() != l.Attempt {
		// Not what the records say: an attempt that is over, or never was.
		if l.Phase != "ended" {
			h.Stray++
			return append(orders, halt(l.Task, l.Attempt, 0))
		}
		if k != nil && l.Cause == "done" && l.Phase == "ended" && k.Job.Gang != nil {
			t.Done(k.Job) // late, or of an earlier attempt: it is done all the same
		}
		if k != nil && k.State == work.Done && !k.DoneDurable {
			return orders // done goes into the record before the worker forgets
		}
		if !acked {
			return orders
		}
		return append(orders, forget)
	}
	seen[k] = true
	if k.Shift > 0 && !k.Seen {
		h.Lost = 0 // it has heard of this one
	}
	k.Seen, k.Sent = true, true
	if k.Flying {
		// The order's own answer is still to come and tells the rest.
		return orders
	}
	k.Doubt = false
	switch l.Phase {
	case "running", "saving", "waiting":
		if !k.Imaged {
			k.Imaged = true
			h.Fetching--
		}
		if l.Phase == "running" && !k.Running {
			k.Running, k.Since = true, t.rt.Now()
		}
		t.mate(k, l.Phase)
		return orders
	case "ended":
	default: // fetching, or a state not known here: it is on the machine
		t.mate(k, l.Phase)
		return orders
	}
	how := work.Ended
	switch l.Cause {
	case "done":
		h.Failed = 0
		clear(h.FailedJ)
		k.Job.Errors = 0
		if k.Job.Gang != nil && !k.Job.Cancelled {
			t.vacate(h, k)
			t.book.TaskDone(k)
			t.Done(k.Job)
			return orders
		}
		if k.Job.Desc.Service() {
			t.proveGone(h, k, how)
			return append(orders, forget)
		}
		t.vacate(h, k)
		if k.Job.Cancelled {
			k.State, k.Host = work.Waiting, ""
			t.book.Drop(k)
			return append(orders, forget)
		}
		t.book.TaskDone(k)
		return orders
	case "error":
		// Whether the others had started shows in their reports.
		how = work.Vanished
		t.failed(h, k)
	case "full":
		how = work.Unready
		h.Refused = t.rt.Now() + tuning.RefusedPause
		k.NotBefore = t.rt.Now() + tuning.RefusedPause/4
	case "busy", "unknown":
		how = work.Unready
		k.NotBefore = t.rt.Now() + tuning.RefusedPause
	case "halted":
		if g := k.Job.Gang; g != nil && !g.Over && k.Stopping {
			how = work.Vanished // one that waited was told to leave its machine
		}
	case "alone", "mates_gone":
		// Nothing against the machine or the job.
		if k.Job.Gang != nil && l.Cause == "mates_gone" {
			k.Job.Gang.Started = true
		}
	default:
		// A reason not known here proves nothing gone. Forgotten by the worker,
		// it is off the list, and that does.
		if !acked {
			return orders
		}
		return append(orders, forget)
	}
	t.proveGone(h, k, how)
	if !acked {
		return orders
	}
	return append(orders, forget)
}

// failed takes note of a failure: machines that fail whatever they start get
// no more tasks, and jobs that fail everywhere are slowed down.
func (t *Table) failed(h *Host, k *work.Task) {
	h.Failed++
	h.FailedJ[k.Job.Desc.ID] = true
	k.Avoid = h.ID
	t.log.Info("task failed", "host", h.ID, "task", k.Ref(), "in a row", h.Failed)
	k.Job.Errors++
	if k.Job.Errors >= 3 {
		pause := min(tuning.ErrorPause<<min(k.Job.Errors-3, 6), tuning.ErrorPauseMax)
		k.Job.NotBefore = t.rt.Now() + pause
	}
	if h.Failed >= tuning.SickErrors && (len(h.FailedJ) > 1 || k.Job.Errors < 2*h.Failed) && h.Draining == "" {
		h.Draining = "fails its tasks"
		t.log.Warn("machine quarantined", "host", h.ID, "failures", h.Failed)
	}
}

// Settle sends direct orders for placements that have become durable.
func (t *Table) Settle() {
	if !t.book.IsLoaded() || !t.office.Valid() {
		clear(t.ready)
		return
	}
	t.greet()
	if len(t.held) > 0 && t.office.Fresh(t.heldAt) {
		for h := range t.held {
			t.ready[h] = true
		}
		clear(t.held)
	}
	for h := range t.ready {
		if h.flying {
			continue // looked at again when the answer is in
		}
		delete(t.ready, h)
		if !h.Up || h.Token != t.office.Token() || h.Silent || h.Deaf {
			continue
		}
		t.direct(h)
	}
}

// direct sends the launches that wait for a machine, each in this one message
// only.
func (t *Table) direct(h *Host) {
	token := t.office.Token()
	msg := Orders{Token: token, Shift: h.Shift}
	var carried []*work.Task
	for k := range h.Tasks {
		if h.Draining == "" && len(carried) < tuning.OrdersPerMessage && k.Launchable() {
			if !t.office.Fresh(k.At) {
				t.held[h], t.heldAt = true, max(t.heldAt, k.At)
				continue
			}
			carried = append(carried, k)
			msg.Orders = append(msg.Orders, Order{Verb: "launch", Task: k.Ref(), Attempt: k.Try()})
		}
	}
	for k := range h.Tasks {
		// Repeated or late, a halt does no harm: it names the attempt.
		if k.Stopping && k.Seen && !k.Told && len(msg.Orders) < tuning.OrdersPerMessage {
			k.Told = true // if this is lost, the next report's answer has it
			msg.Orders = append(msg.Orders, halt(k.Ref(), k.Try(), k.WindDown))
		}
	}
	for k := range h.Tasks {
		if k.Job.Cancelled && k.Sent && t.rt.Now()-k.Halted >= tuning.HaltEvery {
			msg.Orders = t.halts(h, msg.Orders)
			break
		}
	}
	msg.Orders, h.ends = append(msg.Orders, h.ends...), nil
	if len(msg.Orders) == 0 && !h.ask {
		return
	}
	h.ask = false
	if msg.Orders == nil {
		msg.Orders = []Order{}
	}
	body, err := json.Marshal(msg)
	if err != nil {
		t.log.Error("orders do not encode", "err", err)
		return
	}
	attempts := make([]uint64, len(carried))
	for i, k := range carried {
		k.Sent, k.Flying, k.Shift, k.Tick = true, true, h.Shift, h.Tick
		attempts[i] = k.Attempt
	}
	h.flying = true
	begun := t.begun
	t.rt.Call(h.Addr, httpwire.Call{Method: "POST", Target: "/orders", Body: body}, tuning.OrderTimeout,
		func(ans httpwire.Answer, err error) {
			if t.begun != begun || t.office.Token() != token || t.hosts[h.ID] != h {
				return // another term has read the records anew
			}
			h.flying = false
			t.ready[h] = true
			mine := func(fn func(*work.Task)) {
				for i, k := range carried {
					if h.Tasks[k] && k.Attempt == attempts[i] && k.Flying {
						k.Flying = false
						fn(k)
					}
				}
			}
			var r *Report
			if err == nil && (ans.Status == 200 || ans.Status == 409) {
				if r, err = ParseReport(ans.Body); err == nil && r.Host != h.ID {
					r = nil
				}
			}
			switch {
			case err == engine.ErrNotSent || (err == nil && ans.Status == 409):
				mine(func(k *work.Task) { k.Sent, k.Shift, k.Tick = k.Seen, 0, 0 })
			case err == nil && ans.Status == 200 && r != nil:
				mine(func(k *work.Task) { k.Shift, k.Tick = r.Shift, r.Tick })
				if r.Shift == h.Shift && r.Tick > h.Tick && r.Token <= token {
					t.read(h, r, false)
				}
			default:
				mine(func(k *work.Task) { k.Doubt = !k.Seen })
			}
			if err != nil || ans.Status != 200 {
				// Not again at once: the next report carries the launches.
				delete(t.ready, h)
			}
			if err == engine.ErrNoAnswer {
				h.missed = t.rt.Now()
			}
		})
}
