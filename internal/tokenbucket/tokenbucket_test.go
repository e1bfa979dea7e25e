package tokenbucket

import (
	"testing"
	"time"
)

func TestRefillFollowsTheRateUpToCapacity(t *testing.T) {
	var bucket Bucket
	bucket.Refill(1500*time.Millisecond, 2, 10)
	if got := bucket.Tokens(); got != 3 {
		t.Fatalf("after 1.5 s at 2 tokens per second: %v tokens, want 3", got)
	}
	bucket.Refill(time.Minute, 2, 10)
	if got := bucket.Tokens(); got != 10 {
		t.Fatalf("after a minute: %v tokens, want the capacity of 10", got)
	}
	bucket.Refill(time.Minute, 2, 4)
	if got := bucket.Tokens(); got != 4 {
		t.Errorf("with the capacity reduced to 4: %v tokens, want 4", got)
	}
}

func TestOverdrawnBucketWaitsLonger(t *testing.T) {
	var bucket Bucket
	bucket.Reset(time.Second, 2)
	bucket.Spend(3)
	if got := bucket.Tokens(); got != -1 {
		t.Fatalf("after spending 3 of 2 tokens: %v tokens, want -1", got)
	}
	if got := bucket.UntilNext(4); got != 500*time.Millisecond {
		t.Errorf("time until the next token: %v, want 500ms", got)
	}
	bucket.Refill(1500*time.Millisecond, 4, 2)
	if got := bucket.Tokens(); got != 1 {
		t.Errorf("after that time: %v tokens, want 1", got)
	}
}
