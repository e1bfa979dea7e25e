package controller

import (
	"encoding/json"
	"net"
	"strings"
	"syscall"
	"time"

	"lemonmoor/internal/http1"
)

const (
	// idleConnectionsPerController is the number of idle connections of users and workers that
	// the stand-ins keep open to each controller.
	idleConnectionsPerController = 64
	// proxyPollInterval is the interval at which a held connection checks whether its partition
	// has ended.
	proxyPollInterval = 10 * time.Millisecond
	// resetSuffix selects the partitions of peers that reset connections instead of holding data.
	resetSuffix = "|reset"
)

// connect creates the addresses at which a controller reaches the state service and the other
// controllers. Each of them belongs to this controller alone, so that its connections can be
// partitioned.
func (d *processDeployment) connect(failure fataler, process *controllerProcess) {
	process.stateAddress = d.listen(failure, func(request http1.ClientRequest, reply func(http1.Response)) {
		d.serveState(process.name, request, reply)
	})
	process.peerProxies = map[string]string{}
	for _, other := range d.processes {
		if other == process {
			continue
		}
		process.peerProxies[other.name] = other.peerBind
		if d.partitionsPeers {
			process.peerProxies[other.name] = d.proxy(failure, process.name, other)
		}
	}
}

// holdUp draws the time for which a message is held up.
func (d *processDeployment) holdUp() time.Duration {
	return time.Duration(2000+d.rng.IntN(14000)) * time.Millisecond
}

// serveState serves a request of a controller to the state service, subject to the faults of
// the connection between the two.
func (d *processDeployment) serveState(from string, request http1.ClientRequest, reply func(http1.Response)) {
	if d.partitioned(from, "state") {
		if d.rng.IntN(2) == 0 {
			d.schedule(d.holdUp(), func() { d.state.serve(from, request, func(http1.Response) {}) })
		}
		return
	}
	guarded := func(response http1.Response) {
		if !d.partitioned(from, "state") && !d.network.partitions["state>"+from] {
			reply(response)
		}
	}
	latency := d.stateFaults.latency
	if latency == 0 {
		d.state.receive(from, request, guarded)
		return
	}
	if d.rng.IntN(12) == 0 {
		latency *= 25
	}
	d.schedule(latency/2, func() {
		d.state.receive(from, request, func(response http1.Response) {
			d.schedule(latency/2, func() { guarded(response) })
		})
	})
}

// tokenHolders finds the controller that sends messages under a fencing token: the revision of the
// lease of a shard, or of a later commit on condition of that lease.
type tokenHolders struct {
	byToken map[uint64]string
	owners  map[string]string // of the shards, by number
	read    int               // number of changes of the state service that have been read
}

// holder returns the name of the controller that was given a token, "" if there is none.
func (h *tokenHolders) holder(state *simStateService, token uint64) string {
	if h.byToken == nil {
		h.byToken, h.owners = map[uint64]string{}, map[string]string{}
	}
	for ; h.read < len(state.log); h.read++ {
		change := state.log[h.read]
		if shard, isLease := strings.CutPrefix(change.key, "lease/block/"); isLease && change.value != nil {
			h.owners[shard] = holderOf(change.value)
			h.byToken[change.revision] = h.owners[shard]
		} else if shard, isOwners := shardOfOwnersKey(change.key); isOwners {
			h.byToken[change.revision] = h.owners[shard]
		}
	}
	return h.byToken[token]
}

// shardOfOwnersKey returns the shard of a key that only the owner of a shard writes, on condition of
// its lease: work/SHARD/log/PAGE or fence/SHARD.
func shardOfOwnersKey(key string) (shard string, ok bool) {
	if shard, ok := strings.CutPrefix(key, "fence/"); ok {
		return shard, true
	}
	parts := strings.Split(key, "/")
	if len(parts) == 4 && parts[0] == "work" && parts[2] == "log" {
		return parts[1], true
	}
	return "", false
}

// holderOf returns the node in the value of a lease key.
func holderOf(value json.RawMessage) string {
	var holder struct {
		Node string `json:"node"`
	}
	_ = json.Unmarshal(value, &holder)
	return holder.Node
}

// deliverCommands delivers direct commands to a worker, subject to the faults of the network.
// The sender is known from the token.
func (d *processDeployment) deliverCommands(worker *simWorker, request http1.ClientRequest, reply func(http1.Response)) {
	var message struct {
		Token uint64 `json:"baton"`
	}
	_ = json.Unmarshal(request.Body, &message)
	sender := d.tokenHolders.holder(d.state, message.Token)
	sentAt := d.now // about when it was sent
	unanswered := func() {
		if !worker.dead {
			worker.handleCommands(request, sentAt)
		}
	}
	switch {
	case d.partitioned("workers", sender):
		if d.rng.IntN(2) == 0 {
			d.schedule(d.holdUp(), unanswered)
		}
	case d.rng.Float64() < d.network.lateShare:
		d.schedule(d.holdUp(), unanswered)
	default:
		worker.receiveCommands(d.controllerNamed(sender), request, sentAt, reply)
	}
}

// controllerNamed returns a controller by its name, nil if there is none.
func (s *simulation) controllerNamed(name string) *simController {
	for _, controller := range s.controllers {
		if controller.name == name {
			return controller
		}
	}
	return nil
}

// holderOfLease returns the controller that holds a lease key of the state service, or nil.
func (s *simulation) holderOfLease(key string) *simController {
	stored := s.state.keys[key]
	if stored == nil {
		return nil
	}
	return s.controllerNamed(holderOf(stored.value))
}

// crash kills the process of a controller and starts the next one after the down time. It has no
// effect while the process is down.
func (d *processDeployment) crash(controller *simController, down time.Duration) {
	process := d.processes[controller.index]
	if process.killed {
		return
	}
	process.kill()
	d.schedule(down, func() { d.restartProcess(process) })
}

// restartProcess starts a process of a controller once the earlier one has ended.
func (d *processDeployment) restartProcess(process *controllerProcess) {
	select {
	case <-process.ended:
	default:
		d.schedule(proxyPollInterval, func() { d.restartProcess(process) })
		return
	}
	if err := d.launch(process); err != nil {
		panic(err)
	}
}

// pause stops the process of a controller and continues it after a duration.
func (d *processDeployment) pause(controller *simController, duration time.Duration) {
	process := d.processes[controller.index]
	if process.killed {
		return
	}
	command := process.command
	_ = command.Process.Signal(syscall.SIGSTOP)
	d.schedule(duration, func() { _ = command.Process.Signal(syscall.SIGCONT) })
}

// proxy forwards the connections of a controller to another one, and returns its address. A
// partition of the two holds the data up until it ends, or resets the connections.
func (d *processDeployment) proxy(failure fataler, from string, target *controllerProcess) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		failure.Fatal(err)
	}
	link := &peerLink{deployment: d, from: from, to: target.name}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go link.forward(connection, target.peerBind)
		}
	}()
	go func() {
		<-d.done
		_ = listener.Close()
	}()
	return listener.Addr().String()
}

// peerLink is the network between two controllers, for connections opened by one of them.
type peerLink struct {
	deployment *processDeployment
	from, to   string
}

// state returns whether the link is partitioned, and whether that resets connections.
func (l *peerLink) state() (partitioned, resets bool) {
	l.deployment.mu.Lock()
	defer l.deployment.mu.Unlock()
	return l.deployment.partitioned(l.from, l.to), l.deployment.network.partitions[l.from+"|"+l.to+resetSuffix]
}

// forward forwards one connection to the target's address until one side closes it.
func (l *peerLink) forward(client net.Conn, address string) {
	server, err := net.Dial("tcp", address)
	if err != nil {
		_ = client.Close()
		return
	}
	go l.copy(server, client)
	l.copy(client, server)
}

// copy copies data in one direction, and closes both connections when it ends.
func (l *peerLink) copy(destination, source net.Conn) {
	defer func() {
		_ = destination.Close()
		_ = source.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		size, err := source.Read(buffer)
		for {
			partitioned, resets := l.state()
			if resets {
				return
			}
			if !partitioned {
				break
			}
			time.Sleep(proxyPollInterval)
		}
		if _, writeErr := destination.Write(buffer[:size]); err != nil || writeErr != nil {
			return
		}
	}
}
