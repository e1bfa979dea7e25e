package metrics

import (
	"log/slog"

	dto "github.com/prometheus/client_model/go"
)

// ReportViolation counts a violation of an invariant and logs it as an error, with the given
// attributes. The process goes on; its caller takes the safe side.
func (m *Metrics) ReportViolation(log *slog.Logger, invariant Invariant, attributes ...any) {
	m.violations.WithLabelValues(string(invariant)).Inc()
	log.Error("invariant violated", append([]any{"invariant", string(invariant)}, attributes...)...)
}

// Violations returns the number of violations of an invariant so far.
func (m *Metrics) Violations(invariant Invariant) int {
	var value dto.Metric
	if err := m.violations.WithLabelValues(string(invariant)).Write(&value); err != nil {
		return 0
	}
	return int(value.GetCounter().GetValue())
}
