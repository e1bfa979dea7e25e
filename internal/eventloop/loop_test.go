package eventloop

import (
	"context"
	"slices"
	"testing"

	"lemonmoor/internal/tuning"
)

// runUntilIdle runs a loop until its queues are empty and returns how often
// afterBatch was called.
func runUntilIdle(loop *Loop) (batches int) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	loop.Run(ctx, func() { batches++ })
	return batches
}

func TestLanesAreServedInTheirOrder(t *testing.T) {
	loop := NewLoop()
	var served []string
	for _, lane := range []Lane{UserLane, DecisionLane, HeartbeatLane, UserLane, HeartbeatLane} {
		loop.Post(lane, func() { served = append(served, lane.String()) })
	}
	batches := runUntilIdle(loop)
	if want := []string{"heartbeat", "heartbeat", "decision", "user", "user"}; !slices.Equal(served, want) {
		t.Errorf("served %q, want %q", served, want)
	}
	if batches != 3 {
		t.Errorf("%d batches, want one for each lane", batches)
	}
}

func TestUserCommandsRunInPortions(t *testing.T) {
	loop := NewLoop()
	var served []string
	for number := range tuning.UserCommandBatch + 1 {
		loop.Post(UserLane, func() {
			served = append(served, "user")
			if number == 0 {
				loop.Post(HeartbeatLane, func() { served = append(served, "heartbeat") })
			}
		})
	}
	runUntilIdle(loop)
	if position := slices.Index(served, "heartbeat"); position != tuning.UserCommandBatch || len(served) != tuning.UserCommandBatch+2 {
		t.Errorf("the heartbeat was served at %d of %d commands, want after %d", position, len(served), tuning.UserCommandBatch)
	}
}

func TestCommandsOfALaneRunInOrder(t *testing.T) {
	loop := NewLoop()
	var served []int
	for number := range 100 {
		loop.Post(UserLane, func() { served = append(served, number) })
	}
	runUntilIdle(loop)
	if len(served) != 100 || !slices.IsSorted(served) {
		t.Errorf("served in the order %v", served)
	}
}
