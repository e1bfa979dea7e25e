package eventloop

import (
	"context"
	"slices"
	"testing"

	"lemonmoor/internal/tuning"
)

// runUntilIdle runs a loop until its queues are empty and returns the number of calls of
// afterBatch.
func runUntilIdle(loop *Loop) (batches int) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	loop.Run(ctx, func() { batches++ })
	return batches
}

// TestLanesAreServedInPriorityOrder checks that each lane is one batch and that lanes run in
// the order of their priority, regardless of the order of the posts.
func TestLanesAreServedInPriorityOrder(t *testing.T) {
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
		t.Errorf("ran %d batches, want 3, one for each lane", batches)
	}
}

// TestUserCommandsRunInLimitedBatches checks that a heartbeat posted during a long queue of
// users' commands waits for one batch of them, not for all.
func TestUserCommandsRunInLimitedBatches(t *testing.T) {
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
		t.Errorf("the heartbeat ran at index %d of %d commands, want index %d of %d", position, len(served), tuning.UserCommandBatch, tuning.UserCommandBatch+2)
	}
}

// TestCommandsOfALaneRunInOrder checks that the commands of a lane run in the order in which
// they were posted, also across batches.
func TestCommandsOfALaneRunInOrder(t *testing.T) {
	loop := NewLoop()
	var served []int
	for number := range 100 {
		loop.Post(UserLane, func() { served = append(served, number) })
	}
	runUntilIdle(loop)
	if len(served) != 100 || !slices.IsSorted(served) {
		t.Errorf("commands ran in the order %v, want 0 to 99", served)
	}
}
