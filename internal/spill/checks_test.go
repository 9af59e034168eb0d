package spill

import "flag"

// init has the properties tried more often, and longer, than elsewhere: the schedules
// that matter are rare. Flags of the command line override it.
func init() {
	for name, value := range map[string]string{"rapid.checks": "4000", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
