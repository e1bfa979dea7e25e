// Package messagefaults describes what the protocol allows to happen to the messages of a
// deployment, and the links that delay them. It is for tests: simulations, searches and soaks take
// their faults from the one table here, so that a message fault that no test plays is visible.
//
// It owns the table and the state of the links that a test creates. It must hold only what the
// pages of the protocol allow: a test that plays it may expect every rule to hold.
package messagefaults

// Kind is a kind of message.
type Kind string

// The kinds of messages between the parts of a deployment.
const (
	Report              Kind = "report"
	ReportAnswer        Kind = "answer to a report"
	RelayedReport       Kind = "relayed report"
	RelayedReportAnswer Kind = "answer to a relayed report"
	DirectCommand       Kind = "direct command"
	DirectCommandAnswer Kind = "answer to a direct command"
	Announcement        Kind = "announcement of a token"
	Probe               Kind = "probe"
	Dispatch            Kind = "commit of a dispatch"
	PlacementCommit     Kind = "commit of placements"
	LeaseCommit         Kind = "commit of a lease"
	Watch               Kind = "watch"
	CloudRequest        Kind = "request to the cloud"
)

// Kinds are all kinds of messages.
var Kinds = []Kind{
	Report, ReportAnswer, RelayedReport, RelayedReportAnswer, DirectCommand, DirectCommandAnswer, Announcement, Probe,
	Dispatch, PlacementCommit, LeaseCommit, Watch, CloudRequest,
}

// Fault is something that can happen to a message.
type Fault string

// The faults of messages.
const (
	Lost            Fault = "lost"
	AnswerLost      Fault = "executed, its answer is lost"
	Late            Fault = "executed after the sender has given up"
	HeldInOrder     Fault = "held back, then delivered in order"
	HeldBesideNewer Fault = "held back beside newer ones on another connection"
	Again           Fault = "executed again"
	SenderReplaced  Fault = "executed after the sender has ended and is back as a new process"
)

// Faults are all faults of messages.
var Faults = []Fault{Lost, AnswerLost, Late, HeldInOrder, HeldBesideNewer, Again, SenderReplaced}

// Player is a test that plays message faults.
type Player string

// The players of message faults.
const (
	WorkerSearch     Player = "workers: search over message delays"
	DeploymentSearch Player = "controller: search over held links"
	Simulation       Player = "controller: simulated days"
	Soak             Player = "controller: soak of real processes"
)

// Entry says what the protocol allows for a kind of message and a fault.
type Entry struct {
	// Allowed is the section of the protocol that allows the fault, "" if none does.
	Allowed string
	// Players play the fault with messages of the kind.
	Players []Player
	// Gap says why an allowed fault has no player.
	Gap string
}

// Sections of the protocol.
const (
	delayed     = "Delayed messages"
	anyLoss     = "no response within 4 s, connection failure"
	stateErrors = "Limits and errors: no response"
	peers       = "Controller nodes <-> controller nodes"
	watches     = "GET /watch, Outages and cuts"
	cloud       = "POST /rentals"
)

// directMessageFaults is what can happen to a direct message to a worker, whatever it carries.
var directMessageFaults = map[Fault]Entry{
	Lost:            {delayed, []Player{Simulation, Soak}, ""},
	AnswerLost:      {delayed, []Player{WorkerSearch, DeploymentSearch, Simulation, Soak}, ""},
	Late:            {delayed, []Player{WorkerSearch, DeploymentSearch, Simulation, Soak}, ""},
	HeldInOrder:     {delayed, []Player{WorkerSearch, DeploymentSearch, Simulation, Soak}, ""},
	HeldBesideNewer: {delayed, []Player{WorkerSearch, DeploymentSearch}, ""},
	Again:           {delayed, []Player{WorkerSearch, Simulation, Soak}, ""},
	SenderReplaced:  {delayed, []Player{DeploymentSearch, Simulation, Soak}, ""},
}

// commitFaults is what can happen to a transaction at the state service.
var commitFaults = map[Fault]Entry{
	Lost:            {stateErrors, []Player{Simulation, Soak}, ""},
	AnswerLost:      {stateErrors, []Player{DeploymentSearch, Simulation, Soak}, ""},
	Late:            {delayed, []Player{DeploymentSearch, Simulation, Soak}, ""},
	HeldInOrder:     {delayed, []Player{DeploymentSearch}, ""},
	HeldBesideNewer: {delayed, []Player{DeploymentSearch}, ""},
	Again:           {delayed, []Player{Simulation}, ""},
	SenderReplaced:  {delayed, []Player{DeploymentSearch, Simulation, Soak}, ""},
}

// Table holds the entry of every kind of message and every fault.
var Table = map[Kind]map[Fault]Entry{
	Report: {
		Lost:            {anyLoss, []Player{WorkerSearch, DeploymentSearch, Simulation, Soak}, ""},
		AnswerLost:      {anyLoss, []Player{WorkerSearch, DeploymentSearch, Simulation, Soak}, ""},
		Late:            {delayed, []Player{WorkerSearch, DeploymentSearch, Simulation, Soak}, ""},
		HeldInOrder:     {delayed, []Player{WorkerSearch, DeploymentSearch, Simulation, Soak}, ""},
		HeldBesideNewer: {delayed, []Player{WorkerSearch, DeploymentSearch}, ""},
		Again:           {delayed, []Player{Simulation, Soak}, ""},
		SenderReplaced:  {},
	},
	ReportAnswer: {
		Lost:            {anyLoss, []Player{WorkerSearch, DeploymentSearch, Simulation, Soak}, ""},
		AnswerLost:      {},
		Late:            {},
		HeldInOrder:     {delayed, []Player{WorkerSearch, DeploymentSearch, Simulation, Soak}, ""},
		HeldBesideNewer: {delayed, []Player{WorkerSearch, DeploymentSearch}, ""},
		Again:           {},
		SenderReplaced:  {delayed, []Player{DeploymentSearch, Simulation, Soak}, ""},
	},
	RelayedReport: {
		Lost:            {peers, []Player{DeploymentSearch, Simulation, Soak}, ""},
		AnswerLost:      {peers, []Player{DeploymentSearch, Simulation, Soak}, ""},
		Late:            {delayed, []Player{DeploymentSearch, Simulation, Soak}, ""},
		HeldInOrder:     {delayed, []Player{DeploymentSearch, Soak}, ""},
		HeldBesideNewer: {delayed, []Player{DeploymentSearch}, ""},
		Again:           {delayed, []Player{Simulation}, ""},
		SenderReplaced:  {delayed, []Player{DeploymentSearch, Simulation, Soak}, ""},
	},
	RelayedReportAnswer: {
		Lost:            {peers, []Player{DeploymentSearch, Simulation, Soak}, ""},
		AnswerLost:      {},
		Late:            {},
		HeldInOrder:     {delayed, []Player{DeploymentSearch, Soak}, ""},
		HeldBesideNewer: {delayed, []Player{DeploymentSearch}, ""},
		Again:           {},
		SenderReplaced:  {delayed, []Player{DeploymentSearch, Simulation, Soak}, ""},
	},
	DirectCommand: directMessageFaults,
	DirectCommandAnswer: {
		Lost:            {delayed, []Player{WorkerSearch, DeploymentSearch, Simulation, Soak}, ""},
		AnswerLost:      {},
		Late:            {},
		HeldInOrder:     {delayed, []Player{WorkerSearch, DeploymentSearch, Simulation, Soak}, ""},
		HeldBesideNewer: {delayed, []Player{WorkerSearch, DeploymentSearch}, ""},
		Again:           {},
		SenderReplaced:  {delayed, []Player{DeploymentSearch, Simulation, Soak}, ""},
	},
	Announcement:    directMessageFaults,
	Probe:           directMessageFaults,
	Dispatch:        commitFaults,
	PlacementCommit: commitFaults,
	LeaseCommit:     commitFaults,
	Watch: {
		Lost:            {watches, []Player{Simulation, Soak}, ""},
		AnswerLost:      {watches, []Player{DeploymentSearch, Simulation, Soak}, ""},
		Late:            {},
		HeldInOrder:     {watches, []Player{DeploymentSearch}, ""},
		HeldBesideNewer: {watches, []Player{DeploymentSearch}, ""},
		Again:           {},
		SenderReplaced:  {},
	},
	CloudRequest: {
		Lost:            {cloud, []Player{Simulation}, ""},
		AnswerLost:      {cloud, []Player{Simulation}, ""},
		Late:            {delayed, []Player{Simulation}, ""},
		HeldInOrder:     {delayed, nil, "held links between controllers and the cloud are not drawn: the rules that broke concern machines and the state service"},
		HeldBesideNewer: {delayed, nil, "as held in order"},
		Again:           {delayed, []Player{Simulation}, ""},
		SenderReplaced:  {delayed, []Player{Simulation, Soak}, ""},
	},
}
