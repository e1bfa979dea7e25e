// Package tuning holds every constant of the program that could have another value, each
// with its unit and the reason for its value, one file for each subsystem. It owns no state
// and must describe no particular deployment: what differs between deployments comes from
// the settings.
package tuning
