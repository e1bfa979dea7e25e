package workers

import (
	"encoding/json"
	"fmt"
	"testing"
)

// BenchmarkHeartbeat measures the processing of a heartbeat by the number of listed tasks.
func BenchmarkHeartbeat(b *testing.B) {
	for _, tasks := range []int{2, 8, 64} {
		b.Run(fmt.Sprint(tasks, "tasks"), func(b *testing.B) {
			fixture := newRegistryFixture(tasks)
			fixture.worker.token = fixture.token
			for i := range tasks {
				fixture.worker.tasks[fmt.Sprint("wk-1/", i)] = 1
			}
			raw, err := json.Marshal(fixture.heartbeat())
			if err != nil {
				b.Fatal(err)
			}
			for i := 0; b.Loop(); i++ {
				heartbeat, err := ParseHeartbeat(raw)
				if err != nil {
					b.Fatal(err)
				}
				heartbeat.Sequence += uint64(i)
				fixture.registry.HandleHeartbeat(heartbeat)
			}
		})
	}
}

// BenchmarkTick measures a tick by the number of machines.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000} {
		b.Run(fmt.Sprint(n, "machines"), func(b *testing.B) {
			fixture := newRegistryFixture(1)
			for i := range n {
				fixture.registry.HandleHeartbeat(&Heartbeat{WorkerID: fmt.Sprintf("vm-%06d", i), Addr: "w:1", MachineType: "g8", Zone: "a", Session: 1, Sequence: 1, Token: 1})
			}
			for b.Loop() {
				fixture.registry.Tick()
			}
		})
	}
}
