package settings

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
)

// The bounds of values in the platform's file.
const (
	maxAmount       = 1e9
	minTxnOps       = 2
	minSockets      = 16
	maxClockErrorMS = 60000
	maxListLagS     = 3600
)

// fieldValidator validates fields of a file and collects an error for each invalid one.
type fieldValidator struct {
	file string
	errs []error
}

// addError adds a FieldError for the value of a key.
func (v *fieldValidator) addError(key string, value any, want string) {
	v.errs = append(v.errs, &FieldError{File: v.file, Key: key, Value: fmt.Sprintf("%#v", value), Want: want})
}

// checkAddress requires an IP address with a port. Host names are invalid.
func (v *fieldValidator) checkAddress(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.addError(key, value, "an IP address and port, as in 10.0.0.1:8080")
	}
}

// checkPositive requires a value above 0 and up to maxAmount.
func (v *fieldValidator) checkPositive(key string, value float64) {
	if !(value > 0) || value > maxAmount {
		v.addError(key, value, "more than 0")
	}
}

func (v *fieldValidator) checkAtLeast(key string, value, lower int) {
	if value < lower {
		v.addError(key, value, fmt.Sprintf("%d or more", lower))
	}
}

// checkBetween requires a value from lower to upper. NaN is invalid.
func (v *fieldValidator) checkBetween(key string, value, lower, upper float64) {
	if !(value >= lower) || value > upper {
		v.addError(key, value, fmt.Sprintf("between %v and %v", lower, upper))
	}
}

// validate returns the joined errors of all fields that are out of range or contradict another
// field. It fills in the announced limits that are left out.
func (p *Platform) validate(path string) error {
	v := &fieldValidator{file: path}
	if p.Name == "" {
		v.addError("host_name", p.Name, "this controller's name")
	}
	v.checkAddress("public_addr", p.PublicAddr)
	v.checkAddress("back", p.PeerAddr)
	if p.PeerAddr == p.PublicAddr {
		v.addError("back", p.PeerAddr, "another address than public_addr")
	}
	v.checkAddress("services.cloud", p.Services.Cloud)
	v.checkAddress("services.state", p.Services.Store)
	p.validatePeers(v)
	p.Facts.validateTeams(v)
	p.Facts.validateNumbers(v)
	p.Facts.Store.validateNext(v)
	p.Facts.validateObjectives(v)
	return errors.Join(v.errs...)
}

func (p *Platform) validatePeers(v *fieldValidator) {
	names := map[string]bool{p.Name: true}
	for i, peer := range p.Peers {
		if peer.Name == "" || names[peer.Name] {
			v.addError(fmt.Sprintf("others[%d].host_name", i), peer.Name, "a name that no other controller has")
		}
		names[peer.Name] = true
		v.checkAddress(fmt.Sprintf("others[%d].endpoint", i), peer.Addr)
	}
}

func (facts *Facts) validateTeams(v *fieldValidator) {
	names := map[string]bool{}
	for i, team := range facts.Teams {
		if team.Name == "" || names[team.Name] {
			v.addError(fmt.Sprintf("facts.teams[%d].name", i), team.Name, "a name that no other team has")
		}
		names[team.Name] = true
		for _, amount := range []struct {
			key   string
			value float64
		}{{"cpus", team.CPUs}, {"cpus_max", team.CPUsMax}, {"gpus", team.GPUs}, {"gpus_max", team.GPUsMax}} {
			if !(amount.value >= 0) || math.IsInf(amount.value, 0) {
				v.addError(fmt.Sprintf("facts.teams[%d].%s", i, amount.key), amount.value, "0 or more")
			}
		}
	}
}

func (facts *Facts) validateNumbers(v *fieldValidator) {
	v.checkPositive("facts.workers.report_s", facts.AgentTiming.HeartbeatS)
	v.checkPositive("facts.workers.lease_s", facts.AgentTiming.LeaseS)
	v.checkPositive("facts.workers.cancel_s", facts.AgentTiming.CancelS)
	if facts.AgentTiming.HeartbeatS >= facts.AgentTiming.LeaseS {
		v.addError("facts.workers.report_s", facts.AgentTiming.HeartbeatS, "less than facts.workers.lease_s")
	}
	v.checkPositive("facts.state.rps", facts.Store.RPS)
	v.checkPositive("facts.state.write_rps", facts.Store.WriteRPS)
	v.checkPositive("facts.state.value_kb", facts.Store.ValueKB)
	v.checkAtLeast("facts.state.txn_ops", facts.Store.TxnOps, minTxnOps)
	v.checkPositive("facts.cloud.rps", facts.Cloud.RPS)
	v.checkPositive("facts.resources.cpu_share", facts.Resources.CPUShare)
	v.checkPositive("facts.resources.ram_mb", facts.Resources.RAMMB)
	v.checkAtLeast("facts.resources.sockets", facts.Resources.Sockets, minSockets)
	v.checkBetween("facts.clock_error_ms", facts.ClockErrorMS, 0, maxClockErrorMS)
	v.checkBetween("facts.cloud.list_lag_s", facts.Cloud.ListLagS, 0, maxListLagS)
}

// validateNext validates the announced limits, if there are any. It sets those that are left out to
// the present limits.
func (l *StoreLimits) validateNext(v *fieldValidator) {
	next := l.Next
	if next == nil {
		return
	}
	limits := []struct{ next, now *float64 }{
		{&next.RPS, &l.RPS},
		{&next.WriteRPS, &l.WriteRPS},
		{&next.ValueKB, &l.ValueKB},
	}
	for _, limit := range limits {
		if *limit.next == 0 {
			*limit.next = *limit.now
		}
	}
	if next.TxnOps == 0 {
		next.TxnOps = l.TxnOps
	}
	v.checkPositive("facts.state.next.rps", next.RPS)
	v.checkPositive("facts.state.next.write_rps", next.WriteRPS)
	v.checkPositive("facts.state.next.value_kb", next.ValueKB)
	v.checkAtLeast("facts.state.next.txn_ops", next.TxnOps, minTxnOps)
}

func (facts *Facts) validateObjectives(v *fieldValidator) {
	for i, objective := range facts.Objectives {
		v.checkBetween(fmt.Sprintf("facts.objectives[%d].share", i), objective.Share, 0, 1)
		if !(objective.WithinS >= 0) || !(objective.Times >= 0) {
			v.addError(fmt.Sprintf("facts.objectives[%d]", i), objective.Kind, "an objective with times of 0 or more")
		}
	}
}
