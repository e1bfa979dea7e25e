package main

import (
	"errors"
	"fmt"
)

// Exit statuses of the program.
const (
	exitFailure  = 1 // anything without a status of its own
	exitRefused  = 2 // the operator's request makes no sense, or was refused for good
	exitNoAnswer = 3 // no leader was reachable in time
)

// errConfigNeeded refuses a command that needs the platform's settings.
var errConfigNeeded = errors.New("--config FILE is needed")

// exitError ends the process with a status.
type exitError struct {
	status int
	err    error
}

// Error is the text of the error that ends the process.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the error that ends the process.
func (e *exitError) Unwrap() error { return e.err }

// statusOf is the exit status for an error.
func statusOf(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.status
	}
	return exitFailure
}

// requestError says which part of an operator's request is wrong.
type requestError struct {
	field string
	err   error
}

// Error names the part and what is wrong with it.
func (e *requestError) Error() string { return fmt.Sprintf("%s: %v", e.field, e.err) }

// Unwrap returns what is wrong with the part.
func (e *requestError) Unwrap() error { return e.err }

// What can be wrong with an operator's request before it is sent.
var (
	errConfigMissing  = errors.New("missing, name a controller's settings file with --config")
	errDrainIDMissing = errors.New("missing, name the drain with --id")
)

// noMachinesError says that a file of machines' names has none.
type noMachinesError struct{ path string }

// Error names the file.
func (e *noMachinesError) Error() string { return e.path + " names no machine" }

// refuse ends the process for a wrong part of an operator's request.
func refuse(field string, err error) error {
	return &exitError{exitRefused, &requestError{field, err}}
}
