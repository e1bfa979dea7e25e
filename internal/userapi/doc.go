// Package userapi serves users: submissions, polls and cancellations (PROTOCOL, "Users ->
// controller nodes").
//
// It owns the catalog, a copy of all job records fed by a watch, and the submissions on
// their way to the state service. All of it belongs to the event loop. It must never answer
// 201 before a job is durable, never answer from the catalog without a verification that
// it was current after the question, and never answer 404 for want of such a verification.
package userapi
