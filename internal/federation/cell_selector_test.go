package federation

import (
	"testing"

	"pgregory.net/rapid"
)

// The cases are worked out by hand from section 4 of the paper, with cells for machines.
func TestSelect(t *testing.T) {
	cell := func(capacity, used, credit float64) Cell {
		return Cell{Capacity: capacity, Used: used, Credit: credit, RemainingJobs: 10}
	}
	cases := []struct {
		name  string
		l     float64
		cells []Cell
		cores float64
		want  int
		wantL float64
	}{
		{"the first job sets L by the largest cell, and only that is assignable", 0, []Cell{cell(10, 0, 10), cell(40, 0, 40)}, 8, 1, 0.2},
		{"the first in order that is assignable", 0.8, []Cell{cell(10, 0, 10), cell(40, 0, 40)}, 8, 0, 0.8},
		{"a total beyond c times L: the next cell", 0.1, []Cell{cell(100, 50, 50), cell(100, 0, 50)}, 8, 1, 0.1},
		{"none is assignable: L doubles and earlier load counts as zero", 0.05, []Cell{cell(100, 25, 50)}, 8, 0, 0.1},
		{"no credit", 1, []Cell{cell(100, 0, 4)}, 8, -1, 1},
		{"no capacity left", 1, []Cell{cell(100, 95, 50)}, 8, -1, 1},
		{"excluded", 1, []Cell{{Capacity: 100, Credit: 100, RemainingJobs: 1, Excluded: true}}, 8, -1, 1},
		{"too many jobs", 1, []Cell{{Capacity: 100, Credit: 100}}, 8, -1, 1},
		{"no neighbours", 0, nil, 8, -1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			selector := NewCellSelector(5)
			selector.goal.L = c.l
			if got := selector.Select(c.cells, c.cores); got != c.want || selector.goal.L != c.wantL {
				t.Errorf("cell %d with L %v, want %d with %v", got, selector.goal.L, c.want, c.wantL)
			}
		})
	}
}

// TestSelectKeepsBounds: whatever comes and goes, nothing exceeds capacity or credit, a job
// stays at the origin only if no cell has capacity, and L stays within a factor of two of what the
// largest share placed so far asks for, or of the total over c.
func TestSelectKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		selector := NewCellSelector(5)
		cells := make([]Cell, rapid.IntRange(1, 4).Draw(t, "cells"))
		for i := range cells {
			cells[i].Capacity = float64(rapid.IntRange(1, 200).Draw(t, "capacity"))
			cells[i].RemainingJobs = 1000
		}
		type delegated struct {
			cell  int
			cores float64
		}
		var jobs []delegated
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				cores := float64(rapid.IntRange(1, 60).Draw(t, "cores"))
				room := false
				for i := range cells {
					cells[i].Credit = float64(rapid.IntRange(0, 100).Draw(t, "credit"))
					room = room || cells[i].hasCapacity(cores)
				}
				at := selector.Select(cells, cores)
				if (at >= 0) != room {
					t.Fatalf("cell %d, room: %v", at, room)
				}
				if at < 0 {
					return
				}
				if !cells[at].hasCapacity(cores) {
					t.Fatalf("beyond the bounds of %+v", cells[at])
				}
				cells[at].Used += cores
				jobs = append(jobs, delegated{at, cores})
				if selector.goal.L > 2+tolerance {
					t.Fatalf("L is %v where no total can exceed 1", selector.goal.L)
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
