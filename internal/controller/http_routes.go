package controller

import (
	"net/http"
	"strings"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
)

// Paths that this package serves. The user API's paths are served by package userapi.
const (
	workerHeartbeatPath = "/agent/beat"
	healthPath          = "/up"
	userPathPrefix      = "/work"
)

// Handle handles one HTTP request on the event loop. respond is called exactly once, before or
// after Handle returns.
func (n *Node) Handle(request *http1.Request, respond http1.ResponseWriter) {
	switch {
	case request.Path == workerHeartbeatPath:
		if request.Method != http.MethodPost {
			refuseMethod(respond)
			return
		}
		n.handleHeartbeat(request.Body, respond)
	case request.Path == healthPath:
		n.handleHealthCheck(request, respond)
	case n.userAPI.Route(request, respond):
	default:
		respond(http.StatusNotFound, http1.ErrorBody("no such path"), 0)
	}
}

func (n *Node) handleHealthCheck(request *http1.Request, respond http1.ResponseWriter) {
	switch {
	case request.Method != http.MethodGet:
		refuseMethod(respond)
	case n.isHealthy():
		respond(http.StatusOK, []byte("{}"), 0)
	default:
		respond(http.StatusServiceUnavailable, http1.ErrorBody("not ready"), 0)
	}
}

func refuseMethod(respond http1.ResponseWriter) {
	respond(http.StatusMethodNotAllowed, http1.ErrorBody("method not allowed"), 0)
}

// isHealthy reports whether the load balancer should send users to this node: it has loaded the
// jobs and the machine types, and no peer is better able to serve users.
func (n *Node) isHealthy() bool {
	return n.catalog.Ready() && n.fleet.MachineTypes() != nil && n.membership.mayServeUsers()
}

// RequestLane returns the event loop lane of a request. Workers' heartbeats and health checks
// are served first, users' requests last.
func RequestLane(request *http1.Request) eventloop.Lane {
	if strings.HasPrefix(request.Path, userPathPrefix) {
		return eventloop.UserLane
	}
	return eventloop.HeartbeatLane
}
