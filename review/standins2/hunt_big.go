package main

import (
	"math/rand/v2"
	"os"
	"time"
)

func init() {
	scenarios["big"] = struct {
		build func(out *os.File) *world
		play  scenario
		rule  string
	}{buildHunt, playBig, ""}
}

func playBig(w *world, trouble bool) error {
	time.Sleep(3 * time.Second)
	for n := 1; n <= 3; n++ {
		j := routeSheets(n, []int{0, 6000, 2500, 3000}[n], 0.02, 900*time.Millisecond)
		j.Owner, j.MemGB, j.SizeGB = "free", 0.04, 0.2
		go w.huntUser(j, []time.Duration{0, 0, 40 * time.Second, 0}[n])
	}
	r := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	stop := time.Now().Add(80 * time.Second)
	for trouble && time.Now().Before(stop) {
		time.Sleep(time.Duration(2000+r.IntN(6000)) * time.Millisecond)
		go w.huntTrouble(r.Uint64(), []string{"crashleader", "crash", "crashall", "outage", "cutstore", "txn", "take", "repeats"})
	}
	time.Sleep(25 * time.Second)
	w.record("unfinished: %v", w.checker.unfinished())
	return nil
}
