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
	attributeHome   = "leadproxy.home"
	attributeCell   = "leadproxy.cell" // the neighbour
	attributeSide   = "leadproxy.side"
	attributeJob    = "leadproxy.job"
	attributeEpoch  = "leadproxy.epoch"
	attributeReason = "leadproxy.reason"
)

// The sides of a transfer.
const (
	sideHome      = "home"
	sideNeighbour = "neighbour"
)

// Tracer tells the steps of transfers to the log and, if there is a file for them, as
// OpenTelemetry spans. All steps of a job, in both cells and under all leaders, are in
// one trace: its identity follows from the names of home and job. A span lasts from the
// step before to its own.
type Tracer struct {
	cell   string
	log    *slog.Logger
	tracer trace.Tracer // nil: there is no file
	// last is the latest step of each transfer. It belongs to whoever calls Note.
	last map[federation.ForeignKey]time.Time
}

// maxTraced bounds the transfers whose latest step is remembered.
const maxTraced = 10000

// NewTracer makes a tracer that appends to a file until ctx ends; "" for none.
func NewTracer(ctx context.Context, cell, file string, log *slog.Logger) (*Tracer, error) {
	t := &Tracer{cell: cell, log: log, last: map[federation.ForeignKey]time.Time{}}
	if file == "" {
		return t, nil
	}
	out, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("trace file: %w", err)
	}
	context.AfterFunc(ctx, func() { out.Close() })
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, fmt.Errorf("trace file: %w", err)
	}
	// Each span is written as it ends: a controller is killed without notice.
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter))
	t.tracer = provider.Tracer("leadproxy/cells")
	return t, nil
}

// Note tells of a step. One goroutine at a time may call it.
func (t *Tracer) Note(n federation.TransferStep) {
	home, cell, side := n.Origin, t.cell, sideNeighbour
	if n.Origin == "" {
		home, cell, side = t.cell, n.Cell, sideHome
	}
	t.log.Info("transfer", "step", n.Step, "job", n.JobID, "epoch", n.Epoch, "home", home, "neighbour", cell, "side", side, "reason", n.Reason)
	if t.tracer == nil {
		return
	}
	key, now := federation.ForeignKey{Origin: home, JobID: n.JobID}, time.Now()
	began, ok := t.last[key]
	if !ok {
		began = now
	}
	_, span := t.tracer.Start(traceContext(key), n.Step, trace.WithTimestamp(began), trace.WithAttributes(
		attribute.String(attributeHome, home), attribute.String(attributeCell, cell), attribute.String(attributeSide, side),
		attribute.String(attributeJob, n.JobID), attribute.Int64(attributeEpoch, int64(n.Epoch)), attribute.String(attributeReason, n.Reason)))
	span.End(trace.WithTimestamp(now))
	t.remember(key, n.Step, now)
}

// remember keeps a transfer's latest step as long as others follow.
func (t *Tracer) remember(key federation.ForeignKey, step string, now time.Time) {
	switch step {
	case federation.StepReleased, federation.StepCleaned:
		delete(t.last, key)
		return
	}
	if len(t.last) >= maxTraced {
		clear(t.last) // spans that follow begin with themselves
	}
	t.last[key] = now
}

// traceContext has spans belong to a job's trace.
func traceContext(key federation.ForeignKey) context.Context {
	sum := sha256.Sum256([]byte("leadproxy transfer " + key.Origin + " " + key.JobID))
	parent := trace.SpanContextConfig{TraceFlags: trace.FlagsSampled, Remote: true}
	copy(parent.TraceID[:], sum[:16])
	copy(parent.SpanID[:], sum[16:24])
	return trace.ContextWithRemoteSpanContext(context.Background(), trace.NewSpanContext(parent))
}
