// Package tuning contains every constant of the program that could have another value, each
// with its unit and the reason for its value, one file per subsystem. It has no state and must
// not describe a particular deployment: what differs between deployments comes from the
// settings.
package tuning
