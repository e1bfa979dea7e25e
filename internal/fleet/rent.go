package fleet

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// rentalRequest is a rental request; its name is used for this request alone.
type rentalRequest struct {
	Name        string `json:"hire"`
	MachineType string `json:"build"`
	Zone        string `json:"yard"`
	Spot        bool   `json:"loaners"`
	Number      int    `json:"number"`
}

func (h rentalRequest) kind() MachineKind { return MachineKind{h.MachineType, h.Zone, h.Spot} }

// rentForDemand asks for machines for the tasks that have no room. Each need waits
// behind those before it; machines are rented while that wait, at the pace of
// the machines that could do the work, is longer than the users' aims leave.
func (f *Fleet) rentForDemand(term int) {
	if f.machineTypes == nil || f.runtime.Now()-f.termBeganAt < tuning.StatusInterval*2 {
		return
	}
	have := f.capacities()
	behind := map[string]float64{} // by team, as queued
	for i := range f.demands {
		n := &f.demands[i]
		behind[n.Spec.Team] += float64(n.HeldByQuota) * n.Spec.CPUs * max(n.Spec.EstimateSeconds, 1)
	}
	// First all that is wanted, then the calls: a call for each need was small,
	// and calls are few.
	var order []MachineKind
	wanted := map[MachineKind]int{}
	var before float64            // seconds of one processor, of the needs so far
	var coming []AvailableMachine // machines wanted for gangs in this look, with what is left of them
	for i := range f.demands {
		n := &f.demands[i]
		if n.Spec.IsGang() && n.Tasks > 0 {
			if k, number := f.chooseForGang(n, wanted, &coming); number > 0 {
				if wanted[k] == 0 {
					order = append(order, k)
				}
				have.at(k).add(float64(number)*f.MachineType(k.MachineType).CPUs, true, bootTime(f.MachineType(k.MachineType)))
				wanted[k] += number
			}
			continue
		}
		before += float64(n.Tasks) * n.Spec.CPUs * max(n.Spec.EstimateSeconds, 1)
		queued := before + behind[n.Spec.Team]
		for n.Tasks > 0 {
			k, number := f.chooseKind(n, queued, have, f.demands[i:], wanted)
			if number == 0 {
				break
			}
			if wanted[k] == 0 {
				order = append(order, k)
			}
			have.at(k).add(float64(number)*f.MachineType(k.MachineType).CPUs, true, bootTime(f.MachineType(k.MachineType)))
			wanted[k] += number
		}
	}
	for _, k := range order {
		for left := wanted[k]; left > 0; left -= tuning.MaxRentalMachines {
			if !f.spendCall() {
				return
			}
			f.rentalCounter++
			f.sendRental(term, rentalRequest{fmt.Sprintf("r-%d-%d", f.leases.LeaderToken(), f.rentalCounter), k.MachineType, k.Zone, k.Spot, min(left, tuning.MaxRentalMachines)}, 0)
		}
	}
}

// chooseKind finds the kind of machine that does the waiting work at the least
// price, and how many of it are wanted; none if the work can wait. queued is
// the work up to this need, have the machines that there are or will be.
func (f *Fleet) chooseKind(n *Demand, queued float64, have capacities, needs []Demand, wanted map[MachineKind]int) (best MachineKind, number int) {
	now := f.runtime.Now()
	cpus := f.available(n, have)
	bestCost, bestWait := math.Inf(1), 0.0
	for i := range f.machineTypes {
		t := &f.machineTypes[i]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				k := MachineKind{t.Name, zone, spot}
				if now < f.pausedUntil[k] || f.isPartitioned(zone) || wanted[k] >= tuning.MaxPlannedRentals || !f.emptyMachine(k).CouldRun(n.Spec, n.Zone) {
					continue
				}
				price, wait := t.Price, f.maxQueueSeconds(n, t, tuning.MissedObjectiveQueueTime)
				if spot {
					price, wait = t.SpotPrice, f.maxQueueSeconds(n, t, tuning.MaxQueueTime)
				}
				if cpus > epsilon && (queued/cpus <= wait || !spot && f.meetsObjective(n, t, queued, have)) {
					continue
				}
				// Large machines are all that large tasks have; at about the
				// same price small tasks go to small ones.
				cost := price / max(n.Spec.CPUs*math.Floor(t.CPUs/n.cpus(t)+epsilon), 1e-3) * (1 + tuning.LargeMachinePenalty*math.Log2(max(1, t.CPUs)))
				if cost < bestCost {
					best, bestCost, bestWait = k, cost, wait
				}
			}
		}
	}
	if math.IsInf(bestCost, 1) {
		return best, 0
	}
	t := f.MachineType(best.MachineType)
	number = int(math.Ceil((queued/bestWait - cpus) / t.CPUs))
	// No more than the tasks from here on fill.
	fill := 0.0
	for i := range needs {
		if m := &needs[i]; f.emptyMachine(best).CouldRun(m.Spec, m.Zone) {
			fill += float64(m.Tasks) * m.cpus(t)
		}
	}
	return best, max(1, min(number, int(math.Ceil(fill/t.CPUs)), tuning.MaxPlannedRentals-wanted[best]))
}

// meetsObjective tells whether the machines that there are, up or booting, do the work up to a
// need before the next of its aims that a new machine of a type could still meet. Dear
// machines are rented only if they do not.
func (f *Fleet) meetsObjective(n *Demand, t *jobs.MachineType, queued float64, have capacities) bool {
	patience := n.objectiveWait(f.readySeconds(n, t), tuning.MissedObjectiveQueueTime.Seconds())
	return queued <= tuning.ExpensiveQueueFactor*f.servable(n, have, patience)
}

// chooseForGang finds the kind of machine, and how many, that hold all tasks of a gang
// at the least price; none if machines that are wanted already have the room. It
// cannot wait for room to come free bit by bit.
func (f *Fleet) chooseForGang(n *Demand, wanted map[MachineKind]int, coming *[]AvailableMachine) (best MachineKind, number int) {
	left := n.Tasks
	var filled []int // tasks on each of those that are coming
	for i := range *coming {
		k := 0
		if r := &(*coming)[i]; left > 0 && f.emptyMachine(r.MachineKind).CouldRun(n.Spec, n.Zone) {
			k = min(left, tasksOn(r.MachineType, n.Spec))
		}
		filled = append(filled, k)
		left -= k
	}
	take := func(r *AvailableMachine, k int) {
		r.MachineType.CPUs -= float64(k) * n.Spec.CPUs
		r.MachineType.GPUs -= float64(k) * n.Spec.GPUs
		r.MachineType.MemoryGB -= float64(k) * n.Spec.MemoryGB
	}
	if left <= 0 {
		for i, k := range filled {
			take(&(*coming)[i], k)
		}
		return best, 0
	}
	now, bestCost := f.runtime.Now(), math.Inf(1)
	for i := range f.machineTypes {
		t := &f.machineTypes[i]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				k, each := MachineKind{t.Name, zone, spot}, tasksOn(t, n.Spec)
				if now < f.pausedUntil[k] || f.isPartitioned(zone) || each == 0 || !f.emptyMachine(k).CouldRun(n.Spec, n.Zone) {
					continue
				}
				// Machines belong to blocks by their names, in turn, and a gang
				// stays in one block if it can.
				want := (n.Tasks + each - 1) / each
				if want > 1 {
					want *= len(f.statuses)
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				if cost := price * float64(want) * (1 + tuning.GangExtraMachinePenalty*float64(want-1)); cost < bestCost && wanted[k]+want <= tuning.MaxPlannedRentals {
					best, number, bestCost = k, want, cost
				}
			}
		}
	}
	left = n.Tasks
	for range number {
		t := *f.MachineType(best.MachineType)
		r := AvailableMachine{MachineKind: best, MachineType: &t}
		k := min(left, tasksOn(&t, n.Spec))
		take(&r, k)
		left -= k
		*coming = append(*coming, r)
	}
	return best, number
}

// tasksOn tells how many tasks of a job fit on a machine.
func tasksOn(t *jobs.MachineType, d *jobs.Spec) int {
	n := math.MaxInt32
	for _, x := range [...]struct{ need, left float64 }{{d.CPUs, t.CPUs}, {d.GPUs, t.GPUs}, {d.MemoryGB, t.MemoryGB}} {
		if x.need > 0 {
			n = min(n, int(math.Floor((x.left+epsilon)/x.need)))
		}
	}
	return max(n, 0)
}

// IsRentable tells whether machines for a job can be had in a zone now, as far as
// is known.
func (f *Fleet) IsRentable(d *jobs.Spec, zone string) bool {
	for i := range f.machineTypes {
		t := &f.machineTypes[i]
		for _, spot := range []bool{true, false} {
			k := MachineKind{t.Name, zone, spot}
			if slices.Contains(t.Zones, zone) && f.runtime.Now() >= f.pausedUntil[k] && !f.isPartitioned(zone) && f.emptyMachine(k).CouldRun(d, zone) {
				return true
			}
		}
	}
	return false
}

// readySeconds is how many seconds it takes until a new machine of a type can run a need: its
// boot and the fetch of the image.
func (f *Fleet) readySeconds(n *Demand, t *jobs.MachineType) float64 {
	if t.ImageGBPerSecond > 0 {
		return t.BootSeconds + n.Spec.ImageGB/t.ImageGBPerSecond
	}
	return t.BootSeconds
}

// maxQueueSeconds is how many seconds a queue may take before a machine of a type is worth its
// boot for a need; most bounds the patience of one that has no aim left.
func (f *Fleet) maxQueueSeconds(n *Demand, t *jobs.MachineType, most time.Duration) float64 {
	ready := f.readySeconds(n, t)
	return max(tuning.RentBacklogShare*t.BootSeconds, tuning.QueueTimeShare*(n.objectiveWait(ready, most.Seconds())-ready))
}

// emptyMachine is a machine of a kind with nothing on it.
func (f *Fleet) emptyMachine(k MachineKind) *AvailableMachine {
	return &AvailableMachine{MachineKind: k, MachineType: f.MachineType(k.MachineType)}
}

// sendRental sends a rental request until its answer is known; repeated, it rents
// nothing more.
func (f *Fleet) sendRental(term int, h rentalRequest, try int) {
	body, err := json.Marshal(h)
	if err != nil {
		return
	}
	f.rentalsInFlight[h.Name] = h
	f.runtime.CallHTTP(f.cloudAddress, http1.ClientRequest{Method: "POST", Target: "/rentals", Body: body}, tuning.CloudRequestTimeout,
		func(ans http1.Response, err error) {
			if term != f.term {
				return // machines it brings turn up in reports and in the list
			}
			delete(f.rentalsInFlight, h.Name)
			k := h.kind()
			var reply struct {
				Hosts []string `json:"hosts"`
				Error string   `json:"error"`
			}
			if err == nil {
				_ = json.Unmarshal(ans.Body, &reply)
			}
			switch {
			case err == nil && ans.Status == 200:
				f.rentedByName[h.Name] = reply.Hosts
				for _, id := range reply.Hosts {
					if f.machines[id] == nil {
						f.machines[id] = &machine{id: id, kind: k, rentedAt: f.runtime.Now(), shard: taskstate.ShardOf(id, len(f.statuses))}
					}
				}
				if len(reply.Hosts) < h.Number {
					f.pausedUntil[k] = f.runtime.Now() + tuning.NoCapacityPause
				}
				f.log.Info("rented", "build", h.MachineType, "zone", h.Zone, "spot", h.Spot, "wanted", strconv.Itoa(h.Number), "got", len(reply.Hosts))
			case err == nil && ans.Status == 503 && reply.Error == "no capacity":
				f.pausedUntil[k] = f.runtime.Now() + tuning.NoCapacityPause
				f.log.Debug("no capacity", "build", h.MachineType, "zone", h.Zone, "spot", h.Spot)
			case err == nil && ans.Status == 400:
				f.pausedUntil[k] = f.runtime.Now() + 5*tuning.NoCapacityPause
				f.log.Warn("rental refused as malformed", "body", string(ans.Body))
			default:
				f.rentalsInFlight[h.Name] = h
				pause := min(time.Second<<min(try, 3), 8*time.Second)
				f.runtime.After(time.Duration(float64(pause)*(0.5+f.runtime.Rand())), func() {
					if term != f.term {
						return
					}
					f.sendRental(term, h, try+1)
				})
			}
		})
}
