package settings

import "testing"

// FuzzParsePlatform checks that any platform file is accepted or rejected, and that the values by
// which the controller divides are positive in an accepted one.
func FuzzParsePlatform(f *testing.F) {
	f.Add(platformText)
	f.Add("[facts.resources]\nsockets = -1")
	f.Add("[[others]]\n[[others]]")
	f.Fuzz(func(t *testing.T, text string) {
		platform, err := ParsePlatform("fuzz.toml", text)
		if err != nil {
			return
		}
		if platform.Facts.Store.RPS <= 0 || platform.Facts.Cloud.RPS <= 0 || platform.Facts.AgentTiming.HeartbeatS <= 0 || platform.Facts.Resources.Sockets < minSockets {
			t.Errorf("accepted facts that are out of bounds: %+v", platform.Facts)
		}
	})
}

// FuzzParseOperator checks that any operators' file is accepted or rejected, and that the values of
// an accepted one are within their bounds.
func FuzzParseOperator(f *testing.F) {
	f.Add("[placement]\nc = 5\n")
	f.Add("[fleet]\nmax_machines = 1e300\nidle_return_s = nan")
	f.Fuzz(func(t *testing.T, text string) {
		operator, err := ParseOperator("fuzz.ini", text)
		if err == nil && (!(operator.SlowFitC >= 1) || operator.MaxMachines < 0 || operator.LeaderLease <= 0) {
			t.Errorf("accepted settings that are out of bounds: %+v", operator)
		}
	})
}
