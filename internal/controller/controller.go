// Package controller puts the slices together into one node.
package controller

import (
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"lemonmoor/internal/agents"
	"lemonmoor/internal/engine"
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/httpwire"
	"lemonmoor/internal/intake"
	"lemonmoor/internal/lead"
	"lemonmoor/internal/ledger"
	"lemonmoor/internal/placement"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/work"
)

// Node is one controller.
type Node struct {
	rt      engine.Runtime
	set     *settings.Settings
	log     *slog.Logger
	led     *ledger.Client
	office  *ledger.Office
	cat     *intake.Catalog
	desk    *intake.Desk
	book    *lead.Book
	table   *agents.Table
	planner *placement.Planner
	fleet   *fleet.Fleet

	lastRound time.Duration
	rounding  bool
	wanted    bool // a placement round is due
}

// New puts a node together. nonce differs for every process.
func New(rt engine.Runtime, set *settings.Settings, nonce uint64, log *slog.Logger) *Node {
	n := &Node{rt: rt, set: set, log: log}
	rank := 0
	for _, p := range set.Seeds {
		if p.Node < set.Node {
			rank++
		}
	}
	n.led = ledger.New(rt, set.External.State, log)
	n.office = ledger.NewOffice(rt, n.led, log, set.Node, nonce, rank)
	n.cat = intake.NewCatalog(rt, n.led, log)
	n.book = lead.New(rt, n.led, n.office, n.cat, set, log)
	n.table = agents.NewTable(rt, n.office, n.book, set, log)
	n.planner = placement.New(set.WaitBound())
	n.fleet = fleet.New(rt, set.External.Cloud, n.office, n.table, set, log)
	n.desk = intake.NewDesk(rt, n.led, n.cat, set, log)

	n.office.Won = n.won
	n.office.Lost = n.lost
	n.cat.Changed = n.book.JobChanged
	n.book.Waiting = n.arrive
	n.book.Launchable = n.table.Launchable
	n.book.Loaded = n.loaded
	n.book.Cancelled = func(*work.Job) {}
	n.book.Zones = n.fleet.Zones
	n.table.Waiting = n.arrive
	n.table.Type = n.fleet.Type
	n.table.HostUp = n.fleet.Adopt
	n.planner.Open = n.table.Open
	n.planner.Place = n.table.Place
	n.fleet.Waiting = n.planner.Waiting
	n.fleet.Lost = func() { n.office.StepDown("no worker reaches this node") }
	n.desk.Types = n.fleet.Types
	n.desk.Progress = func(id string) (int, int) {
		done, running, _ := n.book.Progress(id)
		return done, running
	}
	return n
}

// Start begins the node's work.
func (n *Node) Start() {
	n.cat.Start()
	n.office.Start()
	n.fleet.Start()
	n.tick()
}

func (n *Node) tick() {
	n.table.Tick()
	n.wanted = true
	n.rt.After(time.Second, n.tick)
}

func (n *Node) arrive(t *work.Task) {
	n.planner.Arrive(t, n.rt.Now())
	n.wanted = true
}

func (n *Node) won(uint64) {
	n.planner.Reset()
	n.table.End()
	n.fleet.End()
	n.book.Begin()
}

func (n *Node) lost() {
	n.book.End()
	n.planner.Reset()
	n.table.End()
	n.fleet.End()
}

// loaded begins the term proper, once the records of the term have been read.
func (n *Node) loaded() {
	n.table.Begin()
	n.fleet.Begin()
}

// Settle takes the decisions that a batch of commands has made necessary.
func (n *Node) Settle() {
	if n.office.Token() == 0 || !n.book.IsLoaded() {
		return
	}
	n.book.HandOut()
	if n.wanted && n.office.Valid() {
		n.round()
	}
	n.book.Settle()
	n.table.Settle()
}

// round places tasks, at most once in a while.
func (n *Node) round() {
	if n.rounding {
		return
	}
	now := n.rt.Now()
	if wait := n.lastRound + tuning.RoundPause - now; wait > 0 && n.lastRound > 0 {
		n.rounding = true
		n.rt.After(wait, func() { n.rounding = false })
		return
	}
	n.wanted = false
	n.lastRound = now
	n.planner.Round(n.table.All(), now)
}

// answering tells whether this node may answer reports: while its lease is
// valid, and for a bounded hold after, which every takeover waits out.
func (n *Node) answering() bool {
	return n.office.Token() != 0 && n.rt.Now() < n.office.ValidUntil()+n.set.Hold()
}

// beat serves POST /agent/beat.
func (n *Node) beat(body []byte, reply httpwire.Reply) {
	r, err := agents.ParseReport(body)
	if err != nil {
		reply(400, httpwire.ErrorBody(err.Error()), 0)
		return
	}
	if !n.answering() {
		n.redirect(reply)
		return
	}
	status, answer := n.table.Report(r)
	n.wanted = true
	reply(status, answer, 0)
}

// redirect sends a worker to the owner of its machine.
func (n *Node) redirect(reply httpwire.Reply) {
	answer := map[string]string{}
	if l := n.office.Leader(); l != "" && l != n.set.Node {
		answer["upstream"] = l
	}
	body, err := json.Marshal(answer)
	if err != nil {
		reply(503, nil, 0)
		return
	}
	reply(421, body, 0)
}

// healthy tells whether users can be served.
func (n *Node) healthy() bool {
	return n.cat.Ready() && n.fleet.Types() != nil && n.led.Answered &&
		n.rt.Now()-n.led.LastAnswer < tuning.UnhealthyAfter
}

// Handle serves one request, on the loop.
func (n *Node) Handle(req *httpwire.Request, reply httpwire.Reply) {
	switch {
	case req.Path == "/agent/beat":
		if req.Method != "POST" {
			reply(405, httpwire.ErrorBody("method not allowed"), 0)
			return
		}
		n.beat(req.Body, reply)
	case req.Path == "/up":
		switch {
		case req.Method != "GET":
			reply(405, httpwire.ErrorBody("method not allowed"), 0)
		case n.healthy():
			reply(200, []byte("{}"), 0)
		default:
			reply(503, httpwire.ErrorBody("not ready"), 0)
		}
	case n.desk.Route(req, reply):
	default:
		reply(404, httpwire.ErrorBody("no such path"), 0)
	}
}

// LaneOf ranks a request: reports of workers and health checks first, users
// last.
func LaneOf(req *httpwire.Request) engine.Lane {
	if strings.HasPrefix(req.Path, "/work") {
		return engine.Users
	}
	return engine.Reports
}
