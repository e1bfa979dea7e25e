package metrics

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	dto "github.com/prometheus/client_model/go"
)

// firstViolations holds the first violation of each invariant since the start of the process, in one
// line each.
type firstViolations struct {
	mu    sync.Mutex
	texts map[Invariant]string
}

// add records a violation unless there was one of the invariant before.
func (f *firstViolations) add(invariant Invariant, text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.texts == nil {
		f.texts = map[Invariant]string{}
	}
	if _, known := f.texts[invariant]; !known {
		f.texts[invariant] = text
	}
}

// get returns the first violation of an invariant, "" if there was none.
func (f *firstViolations) get(invariant Invariant) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.texts[invariant]
}

// ReportViolation counts a violation of an invariant and logs it as an error, with the given
// attributes. The process goes on; its caller takes the safe side.
func (m *Metrics) ReportViolation(log *slog.Logger, invariant Invariant, attributes ...any) {
	m.violations.WithLabelValues(string(invariant)).Inc()
	m.firstViolations.add(invariant, violationText(time.Now(), attributes))
	log.Error("invariant violated", append([]any{"invariant", string(invariant)}, attributes...)...)
}

// violationText returns the time of a violation and its attributes in one line.
func violationText(at time.Time, attributes []any) string {
	text := "at " + at.UTC().Format(time.RFC3339Nano)
	for i := 0; i+1 < len(attributes); i += 2 {
		text += fmt.Sprintf(" %v=%v", attributes[i], attributes[i+1])
	}
	return text
}

// LogViolations logs one line with the invariants violated since the start of the process: how often
// each was, and its first violation in full. It logs nothing if there was none. Whichever later part
// of the process's log is kept, the line then tells of a violation. It does not outlive the process.
func (m *Metrics) LogViolations(log *slog.Logger) {
	var counts, firsts []string
	for _, invariant := range Invariants {
		if count := m.Violations(invariant); count > 0 {
			counts = append(counts, fmt.Sprintf("%s=%d", invariant, count))
			firsts = append(firsts, fmt.Sprintf("%s: %s", invariant, m.firstViolations.get(invariant)))
		}
	}
	if len(counts) > 0 {
		log.Error("invariants violated since the start", "counts", strings.Join(counts, " "), "first", strings.Join(firsts, " | "))
	}
}

// Violations returns the number of violations of an invariant so far.
func (m *Metrics) Violations(invariant Invariant) int {
	var value dto.Metric
	if err := m.violations.WithLabelValues(string(invariant)).Write(&value); err != nil {
		return 0
	}
	return int(value.GetCounter().GetValue())
}
