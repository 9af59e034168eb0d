package cells

import (
	"context"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"os"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"leadproxy/internal/federation"
)

// The attributes of spans. They are part of the format of trace files.
const (
	attributeOrigin    = "leadproxy.home"
	attributeNeighbour = "leadproxy.cell"
	attributeSide      = "leadproxy.side"
	attributeJob       = "leadproxy.job"
	attributeEpoch     = "leadproxy.epoch"
	attributeReason    = "leadproxy.reason"
)

// The values of attributeSide: the cell that delegates the job, and the cell to which it is
// delegated.
const (
	sideOrigin    = "home"
	sideNeighbour = "neighbour"
)

// Tracer records the steps of transfers in the log and, if a trace file is configured, as
// OpenTelemetry spans in that file. All steps of a job belong to one trace, in both cells and under
// all leaders, because the trace ID is a hash of the origin's name and the job's ID. The span of a
// step lasts from the preceding step to this one.
type Tracer struct {
	cell   string
	log    *slog.Logger
	tracer trace.Tracer // nil if no trace file is configured
	// lastStep is the time of the latest step of each open transfer. It has no lock: RecordStep is
	// called by one goroutine at a time.
	lastStep map[federation.ForeignKey]time.Time
}

// maxTrackedTransfers is the maximum number of entries in lastStep.
const maxTrackedTransfers = 10000

// NewTracer returns a tracer that appends spans to a file, which it closes when ctx ends. If file
// is "", steps are only logged.
func NewTracer(ctx context.Context, cell, file string, log *slog.Logger) (*Tracer, error) {
	t := &Tracer{cell: cell, log: log, lastStep: map[federation.ForeignKey]time.Time{}}
	if file == "" {
		return t, nil
	}
	out, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open the trace file: %w", err)
	}
	context.AfterFunc(ctx, func() { out.Close() })
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, fmt.Errorf("set up the exporter of the trace file: %w", err)
	}
	// The syncer writes each span as it ends, since a controller may be killed at any time.
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter))
	t.tracer = provider.Tracer("leadproxy/cells")
	return t, nil
}

// RecordStep logs a step and writes its span. It must not be called concurrently.
func (t *Tracer) RecordStep(step federation.TransferStep) {
	origin, neighbour, side := step.Origin, t.cell, sideNeighbour
	if step.Origin == "" {
		origin, neighbour, side = t.cell, step.Cell, sideOrigin
	}
	t.log.Info("job transfer step", "step", step.Step, "job", step.JobID, "transfer_epoch", step.Epoch, "origin", origin, "neighbour", neighbour, "side", side, "reason", step.Reason)
	if t.tracer == nil {
		return
	}
	key, now := federation.ForeignKey{Origin: origin, JobID: step.JobID}, time.Now()
	start, ok := t.lastStep[key]
	if !ok {
		start = now
	}
	_, span := t.tracer.Start(traceContext(key), step.Step, trace.WithTimestamp(start), trace.WithAttributes(
		attribute.String(attributeOrigin, origin),
		attribute.String(attributeNeighbour, neighbour),
		attribute.String(attributeSide, side),
		attribute.String(attributeJob, step.JobID),
		attribute.Int64(attributeEpoch, int64(step.Epoch)),
		attribute.String(attributeReason, step.Reason)))
	span.End(trace.WithTimestamp(now))
	t.recordStepTime(key, step.Step, now)
}

// recordStepTime stores the time of a transfer's latest step, or deletes it if the step is the last
// of the transfer.
func (t *Tracer) recordStepTime(key federation.ForeignKey, step string, now time.Time) {
	switch step {
	case federation.StepReleased, federation.StepCleaned:
		delete(t.lastStep, key)
		return
	}
	if len(t.lastStep) >= maxTrackedTransfers {
		clear(t.lastStep) // the next span of each transfer has no duration
	}
	t.lastStep[key] = now
}

// traceContext returns a context whose spans belong to the trace of a job. The trace ID depends
// only on the key, so that both cells and all leaders get the same.
func traceContext(key federation.ForeignKey) context.Context {
	hash := sha256.Sum256([]byte("leadproxy transfer " + key.Origin + " " + key.JobID))
	parent := trace.SpanContextConfig{TraceFlags: trace.FlagsSampled, Remote: true}
	copy(parent.TraceID[:], hash[:16])
	copy(parent.SpanID[:], hash[16:24])
	return trace.ContextWithRemoteSpanContext(context.Background(), trace.NewSpanContext(parent))
}
