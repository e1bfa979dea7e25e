package fleet

import (
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
)

// BenchmarkByMachineCount measures a walk over all available machines, their evaluation, and
// the handling of a shard owner's status message, by the number of machines.
func BenchmarkByMachineCount(b *testing.B) {
	for _, machines := range []int{1000, 2000, 4000} {
		runtime := &manualRuntime{now: time.Hour}
		config := &settings.Settings{}
		config.Deployment.Workers.ReportS = 10
		fleet := newFleet(runtime, fixedLeases{}, config)
		fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
		message := &ShardStatus{Full: true, ReachableZones: []string{"a", "b"}}
		for i := range machines {
			message.Hosts = append(message.Hosts, MachineStatus{ID: fmt.Sprintf("vm-%06d", i), MachineType: "g8", Zone: "ab"[i%2 : i%2+1], HasReported: true, AcceptsTasks: true, Busy: true})
		}
		fleet.HandleStatus(message)
		b.Run(fmt.Sprint("available of ", machines), func(b *testing.B) {
			for b.Loop() {
				fleet.EachAvailable(func(*AvailableMachine) {})
			}
		})
		b.Run(fmt.Sprint("evaluate ", machines), func(b *testing.B) {
			for b.Loop() {
				fleet.evaluateMachines()
			}
		})
		message.Full, message.Hosts = false, message.Hosts[:machines/20]
		b.Run(fmt.Sprint("status of a twentieth of ", machines), func(b *testing.B) {
			for b.Loop() {
				message.Seq++
				fleet.HandleStatus(message)
			}
		})
	}
}
