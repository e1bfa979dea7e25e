package statestore

import "encoding/json"

// KeyValue is a key with its value (PROTOCOL, "Controller nodes -> state service").
type KeyValue struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"` // revision of the key's latest change
}

// Condition requires that a key is at a revision; revision 0 means that the key does not
// exist.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"stamp"`
}

// Operation is one change in a commit: it puts or deletes a key.
type Operation struct {
	PutKey    string          `json:"set,omitempty"`
	Value     json.RawMessage `json:"v,omitempty"`
	LeaseID   uint64          `json:"permit,omitempty"` // the key is deleted when this lease ends; 0: no lease
	DeleteKey string          `json:"remove,omitempty"`
}

// WatchEvent is one change reported by a watch: a key was put or deleted.
type WatchEvent struct {
	PutKey     string          `json:"set"`
	Value      json.RawMessage `json:"v"`
	DeletedKey string          `json:"remove"`
	Revision   uint64          `json:"stamp"`
}

// CommitResult is the result of a commit.
type CommitResult struct {
	Outcome Outcome
	// Revision is the revision of the commit or, with OutcomeConflict, the service's latest
	// revision.
	Revision uint64
	// FailedKeys are, with OutcomeConflict, the keys whose conditions did not hold.
	FailedKeys []string
}

// ListResult is the result of a listing.
type ListResult struct {
	Outcome Outcome
	Entries []KeyValue
	// Revision is the revision of the first page. Entries may or may not include later
	// changes.
	Revision uint64
}

// WatchResult is the result of a watch.
type WatchResult struct {
	Outcome Outcome
	Events  []WatchEvent
	// Revision is the revision up to which Events is complete.
	Revision uint64
}

// GrantResult is the result of a request for a lease.
type GrantResult struct {
	Outcome Outcome
	LeaseID uint64
}

type commitRequest struct {
	Conditions []Condition `json:"guards"`
	Operations []Operation `json:"apply,omitempty"`
}

type commitReply struct {
	Revision   uint64   `json:"epoch"`
	FailedKeys []string `json:"failed"`
}

type listReply struct {
	Entries  []KeyValue `json:"rows"`
	HasNext  bool       `json:"hasNext"`
	Revision uint64     `json:"epoch"`
}

type watchReply struct {
	Revision uint64       `json:"epoch"`
	Events   []WatchEvent `json:"log"`
}

type grantRequest struct {
	TTLMillis int64 `json:"ttlMs"`
}

type grantReply struct {
	LeaseID uint64 `json:"permit"`
}
