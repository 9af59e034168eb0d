package federation

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestShortage: it takes a lasting shortage to begin, and lasting calm to end.
func TestShortage(t *testing.T) {
	cases := []struct{ looks, want string }{
		{"ssssssss", "....ssss"},
		{"sss.ssss", "........"},
		{"sss.sssss", "........s"},
		{"sssss.....", "....sssss."},
		{"sssss....s", "....ssssss"},
		{"sssss...s...s", "....sssssssss"},
		{"........", "........"},
	}
	for _, c := range cases {
		s := Shortage{For: 4 * time.Second}
		got := ""
		for i, look := range c.looks {
			mark := "."
			if s.Look(time.Duration(i)*time.Second, look == 's') {
				mark = "s"
			}
			got += mark
		}
		if got != c.want {
			t.Errorf("looks %s: %s, want %s", c.looks, got, c.want)
		}
	}
}

// The cases are worked out by hand from section 4 of the paper, with cells for machines.
func TestChoose(t *testing.T) {
	cell := func(capacity, used, credit float64) Cell {
		return Cell{Capacity: capacity, Used: used, Credit: credit, Jobs: 10}
	}
	cases := []struct {
		name  string
		l     float64
		cells []Cell
		cores float64
		want  int
		wantL float64
	}{
		{"the first job sets L by the largest cell, and only that passes", 0, []Cell{cell(10, 0, 10), cell(40, 0, 40)}, 8, 1, 0.2},
		{"the first in order that passes", 0.8, []Cell{cell(10, 0, 10), cell(40, 0, 40)}, 8, 0, 0.8},
		{"a total beyond c times L goes on", 0.1, []Cell{cell(100, 50, 50), cell(100, 0, 50)}, 8, 1, 0.1},
		{"none passes: L doubles and what is away counts as nothing", 0.05, []Cell{cell(100, 25, 50)}, 8, 0, 0.1},
		{"no credit", 1, []Cell{cell(100, 0, 4)}, 8, -1, 1},
		{"no capacity left", 1, []Cell{cell(100, 95, 50)}, 8, -1, 1},
		{"barred", 1, []Cell{{Capacity: 100, Credit: 100, Jobs: 1, Excluded: true}}, 8, -1, 1},
		{"too many jobs", 1, []Cell{{Capacity: 100, Credit: 100}}, 8, -1, 1},
		{"no neighbours", 0, nil, 8, -1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			choice := NewCellSelector(5)
			choice.goal.L = c.l
			if got := choice.Choose(c.cells, c.cores); got != c.want || choice.goal.L != c.wantL {
				t.Errorf("cell %d with L %v, want %d with %v", got, choice.goal.L, c.want, c.wantL)
			}
		})
	}
}

// TestChooseBounds: whatever comes and goes, nothing exceeds capacity or credit, a job
// stays home only where no cell has room, and L stays within a factor of two of what the
// largest share placed so far asks for, or of the total over c.
func TestChooseBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choice := NewCellSelector(5)
		cells := make([]Cell, rapid.IntRange(1, 4).Draw(t, "cells"))
		for i := range cells {
			cells[i].Capacity = float64(rapid.IntRange(1, 200).Draw(t, "capacity"))
			cells[i].Jobs = 1000
		}
		type away struct {
			cell  int
			cores float64
		}
		var jobs []away
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				cores := float64(rapid.IntRange(1, 60).Draw(t, "cores"))
				room := false
				for i := range cells {
					cells[i].Credit = float64(rapid.IntRange(0, 100).Draw(t, "credit"))
					room = room || cells[i].room(cores)
				}
				at := choice.Choose(cells, cores)
				if (at >= 0) != room {
					t.Fatalf("cell %d, room: %v", at, room)
				}
				if at < 0 {
					return
				}
				if !cells[at].room(cores) {
					t.Fatalf("beyond the bounds of %+v", cells[at])
				}
				cells[at].Used += cores
				jobs = append(jobs, away{at, cores})
				if choice.goal.L > 2+rounding {
					t.Fatalf("L is %v where no total can exceed 1", choice.goal.L)
				}
			},
			"end": func(t *rapid.T) {
				if len(jobs) > 0 {
					k := rapid.IntRange(0, len(jobs)-1).Draw(t, "job")
					cells[jobs[k].cell].Used -= jobs[k].cores
					jobs = append(jobs[:k], jobs[k+1:]...)
				}
			},
		})
	})
}
