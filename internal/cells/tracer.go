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

// The attributes of a span.
const (
	attributeOrigin    = "leadproxy.home"
	attributeNeighbour = "leadproxy.cell"
	attributeSide      = "leadproxy.side"
	attributeJob       = "leadproxy.job"
	attributeEpoch     = "leadproxy.epoch"
	attributeReason    = "leadproxy.reason"
)

// The sides of a transfer: the cell from which a job was delegated, and the one to which.
const (
	sideOrigin    = "home"
	sideNeighbour = "neighbour"
)

// Tracer records the steps of transfers in the log and, if there is a file for them, as
// OpenTelemetry spans. All steps of a job, in both cells and under all leaders, are in one
// trace: its identity follows from the names of the origin and the job. A span lasts from the
// preceding step to its own.
type Tracer struct {
	cell   string
	log    *slog.Logger
	tracer trace.Tracer // nil if there is no file
	// lastStep is the time of the latest step of each transfer. Only the goroutine that calls
	// RecordStep uses it.
	lastStep map[federation.ForeignKey]time.Time
}

// maxTrackedTransfers bounds the transfers whose latest step is remembered.
const maxTrackedTransfers = 10000

// NewTracer returns a tracer that appends to a file until ctx ends; "" for no file.
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
	// Each span is written as it ends: a controller is killed without notice.
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter))
	t.tracer = provider.Tracer("leadproxy/cells")
	return t, nil
}

// RecordStep records a step. One goroutine at a time may call it.
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

// recordStepTime keeps the time of a transfer's latest step as long as others follow.
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

// traceContext returns a context whose spans belong to a job's trace.
func traceContext(key federation.ForeignKey) context.Context {
	sum := sha256.Sum256([]byte("leadproxy transfer " + key.Origin + " " + key.JobID))
	parent := trace.SpanContextConfig{TraceFlags: trace.FlagsSampled, Remote: true}
	copy(parent.TraceID[:], sum[:16])
	copy(parent.SpanID[:], sum[16:24])
	return trace.ContextWithRemoteSpanContext(context.Background(), trace.NewSpanContext(parent))
}
