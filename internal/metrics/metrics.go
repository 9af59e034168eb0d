// Package metrics holds the metrics of one controller and serves them to Prometheus. They tell who
// leads, how far the leader's knowledge lags behind the key-value store, and what answers to users
// rested on. docs/operations.md lists them with their units.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// namespace is the prefix of all metric names.
const namespace = "leadproxy"

// Request is the kind of a user's request that was answered.
type Request string

// The kinds of requests.
const (
	Submission   Request = "submission"
	StatusQuery  Request = "status"
	Cancellation Request = "cancellation"
)

// Source is what the answer to a user rested on.
type Source string

// The sources of answers.
const (
	LeaderMemory    Source = "leader_memory"    // the core of this controller, which leads
	Records         Source = "records"          // records in the key-value store, read or written for this answer
	OtherController Source = "other_controller" // another controller's answer
	NoSource        Source = "none"             // nothing certain could be said
)

// ReadOutcome is the outcome of reading the record of an unknown predecessor.
type ReadOutcome string

// The outcomes of reads.
const (
	ReadFound      ReadOutcome = "found"
	ReadUnreadable ReadOutcome = "unreadable"
	ReadFailed     ReadOutcome = "failed"
)

// Sources are functions that return the present values of gauges. Each may be called by any goroutine.
type Sources struct {
	Leading           func() bool          // whether this controller may act as the leader
	LeaderTerm        func() uint64        // the term of the known leader, which may be another controller; 0: none
	LeaseRemaining    func() time.Duration // how long this controller may still act as the leader
	StoreServing      func() bool          // whether the key-value store served the last request
	StoreRevision     func() uint64        // the highest revision in a response of the key-value store
	WatchRevision     func() uint64        // the revision up to which the leader has seen job records
	WatchAge          func() time.Duration // the time since the last response to the watch of job records
	Unknown           func() int           // unknown predecessors
	OldestUnknownTime func() time.Duration // how long the first of them has been unknown
}

// Metrics holds the metrics of one controller.
type Metrics struct {
	registry      *prometheus.Registry
	answers       *prometheus.CounterVec
	recordReads   *prometheus.CounterVec
	watchFailures prometheus.Counter
}

// New returns metrics whose counters are zero.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "answers_total",
			Help: "Answers to users, by kind of request and by what the answer rested on.",
		}, []string{"request", "source"}),
		recordReads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "predecessor_reads_total",
			Help: "Reads of records of predecessors that the leader did not know, by outcome.",
		}, []string{"outcome"}),
		watchFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "job_watch_failures_total",
			Help: "Requests of the leader's watch of job records that got no usable response.",
		}),
	}
	m.registry.MustRegister(m.answers, m.recordReads, m.watchFailures)
	m.initLabels()
	return m
}

// initLabels makes the counters of all label values appear from the start, at zero.
func (m *Metrics) initLabels() {
	for _, request := range []Request{Submission, StatusQuery, Cancellation} {
		for _, source := range []Source{LeaderMemory, Records, OtherController, NoSource} {
			m.answers.WithLabelValues(string(request), string(source))
		}
	}
	for _, outcome := range []ReadOutcome{ReadFound, ReadUnreadable, ReadFailed} {
		m.recordReads.WithLabelValues(string(outcome))
	}
}

// CountAnswer counts an answer to a user.
func (m *Metrics) CountAnswer(request Request, source Source) {
	m.answers.WithLabelValues(string(request), string(source)).Inc()
}

// CountRecordRead counts a read of the record of an unknown predecessor.
func (m *Metrics) CountRecordRead(outcome ReadOutcome) {
	m.recordReads.WithLabelValues(string(outcome)).Inc()
}

// CountWatchFailure counts a request of the watch of job records that got no usable response.
func (m *Metrics) CountWatchFailure() { m.watchFailures.Inc() }

// RegisterSources adds the gauges. It must be called at most once.
func (m *Metrics) RegisterSources(s Sources) {
	m.gauge("leader", "1 while this controller may act as the leader, otherwise 0.", func() float64 { return boolValue(s.Leading()) })
	m.gauge("leader_term", "Term of the leader that this controller knows, 0 if there is none.", func() float64 { return float64(s.LeaderTerm()) })
	m.gauge("leader_lease_remaining_seconds", "How long this controller may still act as the leader without a renewal.", func() float64 { return s.LeaseRemaining().Seconds() })
	m.gauge("store_available", "1 if the key-value store served the last request of this controller, otherwise 0.", func() float64 { return boolValue(s.StoreServing()) })
	m.gauge("store_revision", "Highest revision in a response of the key-value store to this controller.", func() float64 { return float64(s.StoreRevision()) })
	m.gauge("job_watch_revision", "Revision up to which the leader has seen job records, 0 on other controllers.", func() float64 { return float64(s.WatchRevision()) })
	m.gauge("job_watch_age_seconds", "Time since the last response to the leader's watch of job records, 0 on other controllers.", func() float64 { return s.WatchAge().Seconds() })
	m.gauge("unknown_predecessors", "Jobs that the leader does not know although others depend on them.", func() float64 { return float64(s.Unknown()) })
	m.gauge("unknown_predecessor_oldest_seconds", "How long the first of the unknown predecessors has been unknown.", func() float64 { return s.OldestUnknownTime().Seconds() })
}

// gauge registers a gauge whose value a function returns.
func (m *Metrics) gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
