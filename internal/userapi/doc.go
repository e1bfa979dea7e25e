// Package userapi implements the HTTP API for users: submissions, polls and cancellations
// (PROTOCOL, "Users -> controller nodes").
//
// It owns the catalog, a copy of all job records that is updated by a watch, and the
// submissions that are not stored yet. All of its state belongs to the event loop. The package
// must never answer 201 before a job is durable, never answer from the catalog without having
// verified that the catalog was current after the request arrived, and never answer 404
// because such a verification is missing.
package userapi
