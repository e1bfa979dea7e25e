package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// record writes what was sent, answered and run to the record file, with the time since the
// start of the run, and collects the broken rules.
type record struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	broken map[string][]string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, broken: map[string][]string{}}, nil
}

// now returns the time since the start of the run.
func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	fmt.Printf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.log(format, args...)
}

// breaks notes that a rule was broken.
func (r *record) breaks(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.broken[rule] = append(r.broken[rule], text)
	first := len(r.broken[rule]) <= 10
	r.mu.Unlock()
	if first {
		r.say("BROKEN %s: %s", rule, text)
	} else {
		r.log("BROKEN %s: %s", rule, text)
	}
}

// count returns how often a rule was broken.
func (r *record) count(rule string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken[rule])
}

// summary returns one line for each broken rule.
func (r *record) summary() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []string
	for rule, texts := range r.broken {
		lines = append(lines, fmt.Sprintf("%s: %d times", rule, len(texts)))
	}
	sort.Strings(lines)
	return lines
}
