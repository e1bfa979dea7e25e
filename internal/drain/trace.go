package drain

import (
	"context"
	"fmt"
	"io"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Names in the trace that operators' tools match. The events of steps are named by stepName.
const (
	tracerName = "lemonmoor/drain"
	spanName   = "drain"
	waitsEvent = "waits"
)

// Tracer records a span for each drain, from its first step or wait reason under this leader
// until the drain is done or the term ends, with an event for each step and for each change
// of its wait reasons. A nil Tracer records nothing.
type Tracer struct {
	tracer trace.Tracer
	spans  map[string]trace.Span // by drain
}

// OpenTracer returns a tracer that appends to a file and creates it if it does not exist.
// The file stays open while the process runs.
func OpenTracer(path string) (*Tracer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open the trace file of drains: %w", err)
	}
	return NewTracer(file)
}

// NewTracer returns a tracer that writes each span, as JSON, when it ends.
func NewTracer(w io.Writer) (*Tracer, error) {
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, fmt.Errorf("create the trace exporter of drains: %w", err)
	}
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter))
	return &Tracer{tracer: provider.Tracer(tracerName), spans: map[string]trace.Span{}}, nil
}

// span returns the span of a drain and starts it if there is none.
func (t *Tracer) span(drainID string) trace.Span {
	span := t.spans[drainID]
	if span == nil {
		_, span = t.tracer.Start(context.Background(), spanName, trace.WithAttributes(attribute.String("drain", drainID)))
		t.spans[drainID] = span
	}
	return span
}

// RecordStep records a step of a drain and the usage of the teams' budgets after it.
func (t *Tracer) RecordStep(step drainStep, usage *budgetUsage) {
	if t == nil {
		return
	}
	attributes := []attribute.KeyValue{attribute.String("machine", step.machineID)}
	if step.grant != nil {
		attributes = append(attributes, attribute.Int("tasks", len(step.grant.Tasks)))
	}
	for name, team := range usage.teams {
		attributes = append(attributes,
			attribute.Int("team."+name+".chosen", team.Chosen.Tasks),
			attribute.Int("team."+name+".unchosen", team.Unchosen.Tasks),
			attribute.Float64("team."+name+".cpus", team.Disturbed().CPUs))
	}
	span := t.span(step.drainID)
	span.AddEvent(string(step.name), trace.WithAttributes(attributes...))
	if step.name == stepDone {
		span.End()
		delete(t.spans, step.drainID)
	}
}

// RecordWaitReasons records the current wait reasons of a drain.
func (t *Tracer) RecordWaitReasons(drainID string, reasons []string) {
	if t == nil {
		return
	}
	t.span(drainID).AddEvent(waitsEvent, trace.WithAttributes(attribute.StringSlice("reasons", reasons)))
}

// End ends all spans, when the term of leadership ends.
func (t *Tracer) End() {
	if t == nil {
		return
	}
	for drainID, span := range t.spans {
		span.End()
		delete(t.spans, drainID)
	}
}
