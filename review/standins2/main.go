// Command standins2 plays one case of the second review: the controllers as real processes, with
// stand-ins of the state service, the cloud, the workers and the users on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

// scenario plays a case. It returns an error if the case could not run.
type scenario func(w *world, trouble bool) error

var scenarios = map[string]struct {
	build func(out *os.File) *world
	play  scenario
	rule  string // the rule that is judged; "": all
}{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE RECORD")
		os.Exit(2)
	}
	chosen, known := scenarios[os.Args[1]]
	if !known {
		fail("no such case: %s", os.Args[1])
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fail("%v", err)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w := chosen.build(out)
	time.AfterFunc(playLimit(), func() { fail("the case takes too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		fail("ended by a signal")
	}()
	w.startAll()
	if err := chosen.play(w, trouble); err != nil {
		w.record("the case could not run: %v", err)
		fail("the case could not run: %v", err)
	}
	w.finish()
	stopAll()
	os.Exit(w.verdict(chosen.rule, trouble))
}

// verdict prints which rules were broken and returns the exit code.
func (w *world) verdict(rule string, trouble bool) int {
	broken := w.checker.brokenRules()
	var names []string
	for name := range broken {
		names = append(names, name)
	}
	sort.Strings(names)
	code := 0
	for _, name := range names {
		w.record("rule %s was broken %d times", name, broken[name])
		fmt.Printf("rule %s was broken %d times\n", name, broken[name])
		if rule == "" || name == rule {
			code = 1
		}
	}
	if code == 0 {
		w.record("the rule held (trouble: %v)", trouble)
		fmt.Printf("the rule held (trouble: %v)\n", trouble)
	}
	return code
}

// playLimit is how long a case may take.
func playLimit() time.Duration {
	if text := os.Getenv("LIMIT_S"); text != "" {
		if limit, err := time.ParseDuration(text + "s"); err == nil {
			return limit
		}
	}
	return 118 * time.Second
}
