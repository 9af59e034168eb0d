package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"
)

var cellB *world

func init() {
	scenarios["cells"] = struct {
		build func(out *os.File) *world
		play  scenario
		rule  string
	}{buildCells, playCells, ""}
}

func buildCells(out *os.File) *world {
	mk := func() *world {
		s := site{zones: []string{"a"}, controllers: 3, reportS: 1, leaseS: 8, cancelS: 16, limits: siteLimits{rps: 250, writeRPS: 100, valueKB: 16, txnOps: 32},
			cloudRPS: 4, listLagS: 2, teams: []team{{"red", 0, 0, 0, 0}}, cpuShare: 1, ramMB: 342, sockets: 2500,
			clockErrorMS: 5, relayPeers: true, relayStore: true, relayWorkers: true, logLevel: "debug"}
		flavors := []flavor{{Name: "small", VCPUs: 4, MemGB: 16, CacheGB: 20, FetchGBPerS: 2, Rate: 0.16, MarketPrice: 0.07, StartupS: 3, Rooms: []string{"a"}}}
		return newWorld(s, out, flavors, map[pool]int{{"small", "a", true}: 1})
	}
	a, b := mk(), mk()
	b.cloud.capacity = map[pool]int{{"small", "a", true}: 6}
	b.checker = a.checker
	b.began = a.began
	cellB = b
	links := func(to *world) (addrs []string, relays []*relay) {
		for _, n := range to.nodes {
			r := newRelay(n.back)
			relays, addrs = append(relays, r), append(addrs, r.addr)
		}
		return
	}
	toB, relaysB := links(b)
	toA, _ := links(a)
	cellLinks = relaysB
	fleet := "[fleet]\nmax_machines = 1\n"
	a.site.settings = fleet + "[cell]\nname = lima\nspill = yes\nshortage_s = 1\nmax_wait_s = 2\n[neighbour.arequipa]\ncontrollers = " + strings.Join(toB, ", ") + "\npreference = 1\nmax_jobs = 100\nmax_cores = 256\ntake_back_s = 12\n[class.strict]\nrepeat = no\n"
	b.site.settings = "[fleet]\nmax_machines = 6\n[cell]\nname = arequipa\nspill = no\n[neighbour.lima]\ncontrollers = " + strings.Join(toA, ", ") + "\npreference = 1\nlend_cores = 128\n[class.strict]\nrepeat = no\n"
	for _, w := range []*world{a, b} {
		for _, n := range w.nodes {
			w.writeConfig(n)
		}
	}
	return a
}

var cellLinks []*relay

func playCells(w *world, trouble bool) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewPCG(seed, 7))
	cellB.startAll()
	time.Sleep(4 * time.Second)
	length, _ := time.ParseDuration(os.Getenv("HUNT"))
	stop := time.Now().Add(length)
	go func() {
		users := rand.New(rand.NewPCG(seed, 8))
		for n := 1; time.Now().Before(stop); n++ {
			j := &job{Ref: fmt.Sprintf("job-%06d", n), Lane: "strict", Owner: "red", Shape: "batch", Urgency: "standard", Pieces: 1 + users.IntN(3), VCPUs: pick(users, 1.0, 2, 4), MemGB: 1,
				Bundle: "i1", SizeGB: 0.2, Loaners: true, GuessS: 6, run: time.Duration(1000+users.IntN(9000)) * time.Millisecond}
			cancelAfter := time.Duration(0)
			if users.IntN(3) == 0 {
				cancelAfter = time.Duration(users.IntN(15000)) * time.Millisecond
			}
			go w.huntUser(j, cancelAfter)
			time.Sleep(time.Duration(users.IntN(1300)) * time.Millisecond)
		}
	}()
	kinds := []string{"crash", "crashleader", "crashleader", "crashall", "outage", "refuse", "cutstore", "hang", "cutmachine", "spot", "take", "txn", "repeats", "loses"}
	for trouble && time.Now().Before(stop) {
		time.Sleep(time.Duration(1000+r.IntN(4000)) * time.Millisecond)
		if r.IntN(4) == 0 {
			go func(span time.Duration) {
				w.record("trouble: the cells are cut for %v", span)
				holdAll(cellLinks)(true)
				time.Sleep(span)
				holdAll(cellLinks)(false)
			}(time.Duration(500+r.IntN(15000)) * time.Millisecond)
			continue
		}
		go pick(r, w, cellB).huntTrouble(r.Uint64(), kinds)
	}
	time.Sleep(time.Until(stop) + 40*time.Second)
	w.record("unfinished: %v", w.checker.unfinished())
	return nil
}
