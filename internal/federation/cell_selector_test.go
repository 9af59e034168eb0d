package federation

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSelect checks cases worked out from section 4 of the SLOW-FIT paper, with cells as machines.
func TestSelect(t *testing.T) {
	cell := func(capacity, used, credit float64) Cell {
		return Cell{Capacity: capacity, Used: used, Credit: credit, RemainingJobs: 10}
	}
	cases := []struct {
		name     string
		initialL float64
		cells    []Cell
		cores    float64
		want     int
		wantL    float64
	}{
		{"the first job sets L from the largest cell, and only that cell is assignable", 0, []Cell{cell(10, 0, 10), cell(40, 0, 40)}, 8, 1, 0.2},
		{"the first assignable cell in order", 0.8, []Cell{cell(10, 0, 10), cell(40, 0, 40)}, 8, 0, 0.8},
		{"a total load above c times L excludes a cell", 0.1, []Cell{cell(100, 50, 50), cell(100, 0, 50)}, 8, 1, 0.1},
		{"none is assignable: L doubles and earlier load counts as zero", 0.05, []Cell{cell(100, 25, 50)}, 8, 0, 0.1},
		{"no credit", 1, []Cell{cell(100, 0, 4)}, 8, -1, 1},
		{"no capacity left", 1, []Cell{cell(100, 95, 50)}, 8, -1, 1},
		{"excluded cell", 1, []Cell{{Capacity: 100, Credit: 100, RemainingJobs: 1, Excluded: true}}, 8, -1, 1},
		{"job limit reached", 1, []Cell{{Capacity: 100, Credit: 100}}, 8, -1, 1},
		{"no neighbours", 0, nil, 8, -1, 0},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			selector := NewCellSelector(5)
			selector.goal.L = testCase.initialL
			if got := selector.Select(testCase.cells, testCase.cores); got != testCase.want || selector.goal.L != testCase.wantL {
				t.Errorf("selected cell %d with L %v, want %d with L %v", got, selector.goal.L, testCase.want, testCase.wantL)
			}
		})
	}
}

// TestSelectKeepsBounds checks random sequences of offers and job ends: no selection exceeds a cell's
// capacity or credit, a job stays at the origin only if no cell has capacity, and L stays within a
// factor of two of the largest share delegated so far, or of the total load over c.
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
				hasCapacity := false
				for i := range cells {
					cells[i].Credit = float64(rapid.IntRange(0, 100).Draw(t, "credit"))
					hasCapacity = hasCapacity || cells[i].hasCapacity(cores)
				}
				selected := selector.Select(cells, cores)
				if (selected >= 0) != hasCapacity {
					t.Fatalf("selected cell %d; some cell has capacity: %v", selected, hasCapacity)
				}
				if selected < 0 {
					return
				}
				if !cells[selected].hasCapacity(cores) {
					t.Fatalf("selected a cell without capacity: %+v", cells[selected])
				}
				cells[selected].Used += cores
				jobs = append(jobs, delegated{selected, cores})
				if selector.goal.L > 2+tolerance {
					t.Fatalf("L is %v, want at most 2: no total load can exceed 1", selector.goal.L)
				}
			},
			"end": func(t *rapid.T) {
				if len(jobs) > 0 {
					i := rapid.IntRange(0, len(jobs)-1).Draw(t, "job")
					cells[jobs[i].cell].Used -= jobs[i].cores
					jobs = append(jobs[:i], jobs[i+1:]...)
				}
			},
		})
	})
}
