package controller

import (
	"strings"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/messagefaults"
)

// simLinks is the network of a day on which every message draws its own delay and links hold
// messages back. On such a day it replaces the delays and losses of networkFaults.
type simLinks struct {
	delays     messagefaults.Delays
	directions map[string]*messagefaults.Direction // by linkKey
}

// useLinks has all messages travel over links from now on. lateShare is the share of the messages
// that are late on their own.
func (s *simulation) useLinks(lateShare float64) {
	s.links = &simLinks{
		delays:     messagefaults.Delays{Random: s.rng, LateShare: lateShare},
		directions: map[string]*messagefaults.Direction{},
	}
}

// linkKey names the direction from one host to another.
func linkKey(from, to string) string { return from + ">" + to }

// direction returns the direction of the link from one host to another.
func (l *simLinks) direction(from, to string) *messagefaults.Direction {
	key := linkKey(from, to)
	if l.directions[key] == nil {
		l.directions[key] = &messagefaults.Direction{}
	}
	return l.directions[key]
}

// hold holds back the messages from one host to another that are sent before until.
func (l *simLinks) hold(from, to string, until time.Duration) { l.direction(from, to).Hold(until) }

// holdRandomLink holds a drawn link of a controller, mostly the owner, in one direction or in both.
func (s *simulation) holdRandomLink() {
	controller := s.ownerOfShard0()
	if controller == nil || s.rng.IntN(3) == 0 {
		controller = s.controllers[s.rng.IntN(len(s.controllers))]
	}
	hosts := []string{"state"}
	for _, other := range s.controllers {
		if other != controller {
			hosts = append(hosts, other.name)
		}
	}
	for range 2 { // the links to machines are held more often
		for _, worker := range s.cloud.workers {
			if !worker.dead {
				hosts = append(hosts, workerHost(worker))
			}
		}
	}
	host := hosts[s.rng.IntN(len(hosts))]
	until := s.now + s.links.delays.HoldTime()
	which := s.rng.IntN(3)
	if which != 0 {
		s.links.hold(controller.name, host, until)
	}
	if which != 1 {
		s.links.hold(host, controller.name, until)
	}
	s.log.Debug("link held", "controller", controller.name, "host", host, "until", until, "to_host", which != 0, "from_host", which != 1)
}

// workerHost returns the name of a machine as an endpoint of messages.
func workerHost(worker *simWorker) string { return workersPlace + "/" + worker.id }

// workersPlace is the endpoint of all machines.
const workersPlace = "workers"

// placeOf returns the place of an endpoint: that of a machine is workersPlace.
func placeOf(endpoint string) string {
	place, _, _ := strings.Cut(endpoint, "/")
	return place
}

// sendOverLinks sends the request on a drawn connection and returns its answer on the same one.
// What is under way arrives also if the sender has given up or has ended.
func (e *exchange) sendOverLinks() {
	sim, links := e.sim, e.sim.links
	there, back := links.direction(e.from, e.to), links.direction(e.to, e.from)
	connection := links.delays.DrawConnection()
	opened := links.delays.Open(there, back, sim.now, connection)
	if opened-sim.now > e.timeout {
		sim.schedule(e.timeout, func() { e.finish(http1.Response{}, eventloop.ErrNotSent) })
		return
	}
	sim.schedule(e.timeout, e.timeOut)
	sim.schedule(opened-sim.now, func() {
		sim.schedule(links.delays.Arrival(there, sim.now, connection)-sim.now, func() {
			e.serve(func(response http1.Response) {
				sim.schedule(links.delays.Arrival(back, sim.now, connection)-sim.now, func() { e.finish(response, nil) })
			})
		})
	})
}
