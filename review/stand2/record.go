package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the events of a run to the record of its case.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	broken  []string // rules that were seen broken
	failed  string   // why the case could not run, "" if it could
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, started: time.Now()}, nil
}

// note writes one event with its time since the start, in seconds.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// breaks notes that a rule is broken.
func (r *recorder) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.note("BROKEN %s", text)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	r.mu.Unlock()
}

// fails notes that the case could not run.
func (r *recorder) fails(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("could not run: %s", text)
	r.mu.Lock()
	r.failed = text
	r.mu.Unlock()
}

func (r *recorder) hasFailed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed != ""
}

func (r *recorder) isBroken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken) > 0
}
