package settings

import "testing"

// FuzzParsePlatform: a platform file is accepted or refused, and an accepted one has positive
// values where the controller divides by them.
func FuzzParsePlatform(f *testing.F) {
	f.Add(platformText)
	f.Add("[facts.resources]\nsockets = -1")
	f.Add("[[others]]\n[[others]]")
	f.Fuzz(func(t *testing.T, text string) {
		p, err := ParsePlatform("fuzz.toml", text)
		if err != nil {
			return
		}
		if p.Facts.Store.RPS <= 0 || p.Facts.Cloud.RPS <= 0 || p.Facts.AgentTiming.HeartbeatS <= 0 || p.Facts.Resources.Sockets < minSockets {
			t.Errorf("%+v", p.Facts)
		}
	})
}

// FuzzParseOperator: an operators' file is accepted or refused, and the values of an accepted
// one are within their bounds.
func FuzzParseOperator(f *testing.F) {
	f.Add("[placement]\nc = 5\n")
	f.Add("[fleet]\nmax_machines = 1e300\nidle_return_s = nan")
	f.Fuzz(func(t *testing.T, text string) {
		o, err := ParseOperator("fuzz.ini", text)
		if err == nil && (!(o.SlowFitC >= 1) || o.MaxMachines < 0 || o.LeaderLease <= 0) {
			t.Errorf("%+v", o)
		}
	})
}
