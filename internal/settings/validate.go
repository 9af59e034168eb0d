package settings

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
)

// Bounds on what the platform may hand over.
const (
	maxAmount     = 1e9
	minTxnOps     = 2
	minSockets    = 16
	maxClockError = 60000 // ms
	maxListLag    = 3600  // s
)

// faults gathers the fields of a file that can't be used as they stand.
type faults struct {
	file string
	errs []error
}

func (f *faults) add(key string, value any, want string) {
	f.errs = append(f.errs, &FieldError{File: f.file, Key: key, Value: fmt.Sprintf("%#v", value), Want: want})
}

func (f *faults) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		f.add(key, value, "an IP address and port, as in 10.0.0.1:8080")
	}
}

func (f *faults) positive(key string, v float64) {
	if !(v > 0) || v > maxAmount {
		f.add(key, v, "more than 0")
	}
}

func (f *faults) atLeast(key string, v, least int) {
	if v < least {
		f.add(key, v, fmt.Sprintf("%d or more", least))
	}
}

func (f *faults) between(key string, v, least, most float64) {
	if !(v >= least) || v > most {
		f.add(key, v, fmt.Sprintf("between %v and %v", least, most))
	}
}

// validate tells all fields that are wrong or contradict each other.
func (p *Platform) validate(path string) error {
	f := &faults{file: path}
	if p.Node == "" {
		f.add("host_name", p.Node, "this node's name")
	}
	f.address("public_addr", p.Listen)
	f.address("back", p.Back)
	if p.Back == p.Listen {
		f.add("back", p.Back, "another address than public_addr")
	}
	f.address("services.cloud", p.Services.Cloud)
	f.address("services.state", p.Services.State)
	p.validatePeers(f)
	p.Facts.validateTeams(f)
	p.Facts.validateNumbers(f)
	p.Facts.State.validateNext(f)
	p.Facts.validateObjectives(f)
	return errors.Join(f.errs...)
}

func (p *Platform) validatePeers(f *faults) {
	names := map[string]bool{p.Node: true}
	for i, o := range p.Peers {
		if o.Node == "" || names[o.Node] {
			f.add(fmt.Sprintf("others[%d].host_name", i), o.Node, "a name that no other node has")
		}
		names[o.Node] = true
		f.address(fmt.Sprintf("others[%d].endpoint", i), o.Addr)
	}
}

func (facts *Facts) validateTeams(f *faults) {
	names := map[string]bool{}
	for i, t := range facts.Teams {
		if t.Name == "" || names[t.Name] {
			f.add(fmt.Sprintf("facts.teams[%d].name", i), t.Name, "a name that no other team has")
		}
		names[t.Name] = true
		for _, amount := range []struct {
			key string
			v   float64
		}{{"cpus", t.CPUs}, {"cpus_max", t.CPUsMax}, {"gpus", t.GPUs}, {"gpus_max", t.GPUsMax}} {
			if !(amount.v >= 0) || math.IsInf(amount.v, 0) {
				f.add(fmt.Sprintf("facts.teams[%d].%s", i, amount.key), amount.v, "0 or more")
			}
		}
	}
}

func (facts *Facts) validateNumbers(f *faults) {
	f.positive("facts.workers.report_s", facts.Workers.ReportS)
	f.positive("facts.workers.lease_s", facts.Workers.LeaseS)
	f.positive("facts.workers.cancel_s", facts.Workers.CancelS)
	if facts.Workers.ReportS >= facts.Workers.LeaseS {
		f.add("facts.workers.report_s", facts.Workers.ReportS, "less than facts.workers.lease_s")
	}
	f.positive("facts.state.rps", facts.State.RPS)
	f.positive("facts.state.write_rps", facts.State.WriteRPS)
	f.positive("facts.state.value_kb", facts.State.ValueKB)
	f.atLeast("facts.state.txn_ops", facts.State.TxnOps, minTxnOps)
	f.positive("facts.cloud.rps", facts.Cloud.RPS)
	f.positive("facts.resources.cpu_share", facts.Resources.CPUShare)
	f.positive("facts.resources.ram_mb", facts.Resources.RAMMB)
	f.atLeast("facts.resources.sockets", facts.Resources.Sockets, minSockets)
	f.between("facts.clock_error_ms", facts.ClockErrorMS, 0, maxClockError)
	f.between("facts.cloud.list_lag_s", facts.Cloud.ListLagS, 0, maxListLag)
}

// validateNext checks the limits that are announced. What is not announced stays as it
// is.
func (l *StateLimits) validateNext(f *faults) {
	next := l.Next
	if next == nil {
		return
	}
	for _, limit := range []struct{ next, now *float64 }{{&next.RPS, &l.RPS}, {&next.WriteRPS, &l.WriteRPS}, {&next.ValueKB, &l.ValueKB}} {
		if *limit.next == 0 {
			*limit.next = *limit.now
		}
	}
	if next.TxnOps == 0 {
		next.TxnOps = l.TxnOps
	}
	f.positive("facts.state.next.rps", next.RPS)
	f.positive("facts.state.next.write_rps", next.WriteRPS)
	f.positive("facts.state.next.value_kb", next.ValueKB)
	f.atLeast("facts.state.next.txn_ops", next.TxnOps, minTxnOps)
}

func (facts *Facts) validateObjectives(f *faults) {
	for i, o := range facts.Objectives {
		f.between(fmt.Sprintf("facts.objectives[%d].share", i), o.Share, 0, 1)
		if !(o.WithinS >= 0) || !(o.Times >= 0) {
			f.add(fmt.Sprintf("facts.objectives[%d]", i), o.Kind, "an aim with times of 0 or more")
		}
	}
}
