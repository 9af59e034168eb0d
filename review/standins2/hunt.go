package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// A hunt plays random jobs and random troubles.

var huntRooms = []string{"a", "b", "c"}

func init() {
	scenarios["hunt"] = struct {
		build func(out *os.File) *world
		play  scenario
		rule  string
	}{buildHunt, playHunt, ""}
}

func buildHunt(out *os.File) *world {
	s := site{zones: huntRooms, controllers: 3, reportS: 2, leaseS: 14, cancelS: 24, limits: siteLimits{rps: 250, writeRPS: 100, valueKB: 16, txnOps: 32},
		cloudRPS: 4, listLagS: 4, teams: []team{{"red", 8, 20, 0, 0}, {"blue", 0, 14, 0, 0}, {"free", 0, 0, 0, 0}}, cpuShare: 1, ramMB: 342, sockets: 2500,
		clockErrorMS: 5, relayPeers: true, relayStore: true, relayWorkers: true, logLevel: "debug"}
	if os.Getenv("DRAIN") != "" {
		s.settings += "[drain]\nenabled = yes\n[budget]\njobs = 2\nwindow_s = 5\n"
	}
	if os.Getenv("FAST") != "" {
		s.reportS, s.leaseS, s.cancelS = 1, 7, 13
	}
	if os.Getenv("HINTS") != "" {
		s.settings = "[standby]\nfollow = yes\nhints = yes\n"
	}
	flavors := []flavor{
		{Name: "small", VCPUs: 4, MemGB: 16, CacheGB: 20, FetchGBPerS: 2, Rate: 0.16, MarketPrice: 0.07, StartupS: 3, Rooms: huntRooms},
		{Name: "mid", VCPUs: 8, MemGB: 32, CacheGB: 20, FetchGBPerS: 2, Rate: 0.31, MarketPrice: 0.12, StartupS: 3, Rooms: huntRooms},
		{Name: "big", VCPUs: 16, GPUs: 2, MemGB: 64, CacheGB: 20, FetchGBPerS: 2, Rate: 1, MarketPrice: 0.5, StartupS: 3, Rooms: []string{"a", "b"}},
	}
	capacity := map[pool]int{}
	if os.Getenv("SMALL") != "" {
		capacity = map[pool]int{{"small", "a", true}: 1, {"small", "b", true}: 1, {"mid", "a", false}: 1, {"mid", "c", true}: 1, {"big", "b", true}: 1}
		return newWorld(s, out, flavors, capacity)
	}
	for _, f := range flavors {
		for _, room := range f.Rooms {
			capacity[pool{f.Name, room, true}], capacity[pool{f.Name, room, false}] = 2, 1
		}
	}
	return newWorld(s, out, flavors, capacity)
}

func pick[T any](r *rand.Rand, list ...T) T { return list[r.IntN(len(list))] }

func huntJob(r *rand.Rand, number int) *job {
	j := &job{Ref: fmt.Sprintf("job-%06d", number), Lane: pick(r, "x", "y", "z"), Owner: pick(r, "red", "blue", "free"), Shape: "batch",
		Urgency: pick(r, "critical", "high", "standard", "idle"), Pieces: 1 + r.IntN(8), VCPUs: pick(r, 0.5, 1, 2, 3, 4), MemGB: pick(r, 1.0, 2, 4),
		Bundle: pick(r, "i1", "i2", "i3", "i4"), SizeGB: pick(r, 0.2, 0.6, 1.0), Loaners: r.IntN(3) > 0, Together: r.IntN(5) == 0, Spread: r.IntN(5) == 0,
		GuessS: 5, run: time.Duration(500+r.IntN(14000)) * time.Millisecond}
	if os.Getenv("SMALL") != "" {
		j.run = time.Duration(5000+r.IntN(30000)) * time.Millisecond
		j.GuessS = j.run.Seconds()
		j.Pieces = 1 + r.IntN(4)
	}
	if j.Together {
		j.Spread = false
	}
	if r.IntN(4) == 0 {
		j.Flavors = [][]string{{"small"}, {"mid"}, {"big"}, {"small", "big"}}[r.IntN(4)]
	}
	if r.IntN(5) == 0 {
		room := pick(r, "a", "b")
		j.Room = &room
	}
	if r.IntN(8) == 0 && (j.Flavors == nil || j.Flavors[0] == "big") {
		j.GPUs = 1
		j.Loaners = true
	}
	if os.Getenv("FAULTY") != "" && r.IntN(5) == 0 {
		j.faulty = true
	}
	if r.IntN(3) == 0 {
		j.SnapshotS, j.FlushS = 2, pick(r, 0.5, 2, 5)
	}
	return j
}

func playHunt(w *world, trouble bool) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewPCG(seed, 7))
	w.record("seed %d", seed)
	time.Sleep(3 * time.Second)
	length, _ := time.ParseDuration(os.Getenv("HUNT"))
	if length == 0 {
		length = 80 * time.Second
	}
	stop := time.Now().Add(length)
	go func() {
		users := rand.New(rand.NewPCG(seed, 8))
		for n := 1; time.Now().Before(stop); n++ {
			j := huntJob(users, n)
			cancelAfter := time.Duration(0)
			if users.IntN(3) == 0 {
				cancelAfter = time.Duration(users.IntN(9000)) * time.Millisecond
			}
			go w.huntUser(j, cancelAfter)
			time.Sleep(time.Duration(users.IntN(huntGap())) * time.Millisecond)
		}
	}()
	kinds := strings.Fields(os.Getenv("KINDS"))
	if os.Getenv("DRAIN") != "" {
		go w.huntDrains(stop)
	}
	for trouble && time.Now().Before(stop) {
		time.Sleep(time.Duration(1000+r.IntN(5000)) * time.Millisecond)
		go w.huntTrouble(r.Uint64(), kinds)
	}
	time.Sleep(time.Until(stop) + 25*time.Second)
	w.record("unfinished: %v", w.checker.unfinished())
	return nil
}

func (w *world) huntUser(j *job, cancelAfter time.Duration) {
	if !w.submit(j) {
		return
	}
	go w.follow(j.Ref, 900*time.Millisecond)
	if cancelAfter > 0 {
		time.Sleep(cancelAfter)
		w.cancel(j.Ref)
	}
}

func (w *world) huntTrouble(seed uint64, kinds []string) {
	r := rand.New(rand.NewPCG(seed, 9))
	if len(kinds) == 0 {
		kinds = []string{"crash", "crashleader", "crashleader", "crashall", "outage", "refuse", "cutstore", "cutworkers", "zones", "hang", "hang", "cutmachine", "spot", "spot", "sick", "cloud", "take", "txn", "txn", "repeats", "repeats", "loses"}
	}
	kind := pick(r, kinds...)
	span := time.Duration(300+r.IntN(huntSpan())) * time.Millisecond
	n := w.nodes[r.IntN(len(w.nodes))]
	if leader := w.leader(); leader != nil && r.IntN(2) == 0 {
		n = leader
	}
	w.record("trouble %s for %v, node %s", kind, span, n.name)
	if begin := w.huntKinds()[kind]; begin != nil {
		begin(n, span)
		return
	}
	w.huntMachineTrouble(r, kind, span)
}

// huntKinds returns the troubles that don't concern one machine, by name. Each lasts for a span.
func (w *world) huntKinds() map[string]func(n *node, span time.Duration) {
	during := func(set func(on bool), span time.Duration) {
		set(true)
		time.Sleep(span)
		set(false)
	}
	crash := func(n *node, _ time.Duration) { w.huntCrash(n) }
	return map[string]func(n *node, span time.Duration){
		"crash": crash, "crashleader": crash,
		"crashall": func(*node, time.Duration) {
			for _, n := range w.nodes {
				go w.huntCrash(n)
			}
		},
		"outage":     func(_ *node, span time.Duration) { during(w.store.setOutage, span) },
		"refuse":     func(n *node, span time.Duration) { during(n.front.refuse, span) },
		"cutstore":   func(n *node, span time.Duration) { during(n.storeRelay.hold, span) },
		"cloud":      func(_ *node, span time.Duration) { during(w.cloud.setOutage, span) },
		"txn":        func(n *node, span time.Duration) { during(n.front.disturb, span) },
		"cutworkers": func(n *node, span time.Duration) { during(holdAll(slices.Collect(maps.Values(n.workerRelays))), span) },
		"zones": func(_ *node, span time.Duration) {
			a, b := w.nodes[0], w.nodes[1]
			during(holdAll([]*relay{a.peerRelays[b.name], b.peerRelays[a.name], a.workerRelays[b.zone], b.workerRelays[a.zone]}), span)
		},
	}
}

// holdAll returns a function that begins or ends a cut of all relays.
func holdAll(relays []*relay) func(on bool) {
	return func(on bool) {
		for _, r := range relays {
			r.hold(on)
		}
	}
}

// disturb begins or ends faults of transactions.
func (f *storeFront) disturb(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = nil
	if on {
		f.fault = func() string { return []string{"", "", "lost", "late", "twice", "twice"}[rand.IntN(6)] }
	}
}

var crashing = make(chan struct{}, 1)

func (w *world) huntCrash(n *node) {
	crashing <- struct{}{}
	if n.process.ProcessState == nil {
		w.kill(n)
	}
	<-crashing
	time.Sleep(time.Duration(200+rand.IntN(3000)) * time.Millisecond)
	crashing <- struct{}{}
	if n.process.ProcessState != nil {
		w.start(n)
	}
	<-crashing
}

func (w *world) huntMachineTrouble(r *rand.Rand, kind string, span time.Duration) {
	workers := w.cloud.workers()
	if len(workers) == 0 {
		return
	}
	k := workers[r.IntN(len(workers))]
	w.record("trouble %s on %s", kind, k.machine.name)
	span += time.Duration(r.IntN(10000)) * time.Millisecond
	switch kind {
	case "hang":
		k.set(func() { k.hung = true })
		time.Sleep(span)
		k.set(func() {
			k.hung = false
			for _, p := range k.pieces {
				p.last = time.Now()
			}
		})
	case "cutmachine":
		k.set(func() { k.cut = true })
		time.Sleep(span)
		k.set(func() { k.cut = false })
	case "sick":
		k.set(func() { k.sick = true })
		time.Sleep(span)
		k.set(func() { k.sick = false })
	case "spot":
		notice := time.Duration(2000+r.IntN(8000)) * time.Millisecond
		k.set(func() { k.noticeAt = time.Now().Add(notice); k.change() })
		time.Sleep(notice)
		w.cloud.take(k.machine.name, "taken after a notice")
	case "repeats":
		k.set(func() { k.repeats = true })
		time.Sleep(span)
		k.set(func() { k.repeats = false })
	case "loses":
		k.set(func() { k.loses = true })
		time.Sleep(span)
		k.set(func() { k.loses = false })
	case "take":
		w.cloud.take(k.machine.name, "taken")
	}
}

func huntGap() int {
	if os.Getenv("SMALL") != "" {
		return 5000
	}
	return 1400
}

func huntSpan() int {
	if os.Getenv("LONG") != "" {
		return 20000
	}
	return 9000
}

// huntDrains begins plans that drain machines.
func (w *world) huntDrains(stop time.Time) {
	for n := 1; time.Now().Before(stop); n++ {
		plan := filepath.Join(w.dir, "plan.ini")
		text := fmt.Sprintf("[plan]\nname = p%d\ntypes = small, mid, big\ncanary = 1\nbatch = 2\nsurge = %s\ncheck_s = 1\nhealth_s = 40\nwait_s = 5\n", n, []string{"no", "yes"}[n%2])
		os.WriteFile(plan, []byte(text), 0o600)
		out, err := exec.Command(w.program, "drain", "start", "--config", w.nodes[n%3].config, plan).CombinedOutput()
		w.record("drain plan %d: %v %s", n, err, out)
		time.Sleep(12 * time.Second)
	}
}
