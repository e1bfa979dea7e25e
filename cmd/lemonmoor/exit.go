package main

import (
	"errors"
	"fmt"
)

// Exit statuses of the program.
const (
	exitFailure  = 1 // any failure without its own status
	exitRefused  = 2 // the operator's request is invalid or was refused permanently
	exitNoAnswer = 3 // no leader was reachable within the timeout
)

// errConfigNeeded reports that a command needs the platform's settings file.
var errConfigNeeded = errors.New("--config FILE is needed")

// exitError is an error that ends the process with a given exit status.
type exitError struct {
	status int
	err    error
}

// Error returns the text of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// statusOf returns the exit status for an error.
func statusOf(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.status
	}
	return exitFailure
}

// requestError reports an invalid field of an operator's request.
type requestError struct {
	field string
	err   error
}

// Error returns the field and what is wrong with it.
func (e *requestError) Error() string { return fmt.Sprintf("%s: %v", e.field, e.err) }

// Unwrap returns what is wrong with the field.
func (e *requestError) Unwrap() error { return e.err }

// Errors in an operator's request that are found before it is sent.
var (
	errConfigMissing  = errors.New("missing, name a controller's settings file with --config")
	errDrainIDMissing = errors.New("missing, name the drain with --id")
)

// noMachinesError reports that a file that should name machines has no names.
type noMachinesError struct{ path string }

// Error returns a text with the file's path.
func (e *noMachinesError) Error() string { return e.path + " names no machine" }

// refuse returns the error for an invalid field of an operator's request, with exit status
// exitRefused.
func refuse(field string, err error) error {
	return &exitError{exitRefused, &requestError{field, err}}
}
