package settings

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

const cellsText = `[cell]
name = lima
spill = yes
[neighbour.puno]
controllers = 10.2.0.1:8081
preference = 2
lend_cores = 8
drain = yes
[neighbour.arequipa]
controllers = 10.1.0.1:8081, 10.1.0.2:8081
preference = 1
max_cores = 32
take_back_s = 90
[class.report]
repeat = yes
`

// TestCells checks that all sections about cells are read, with the neighbours in order of
// preference.
func TestCells(t *testing.T) {
	operator, err := ParseOperator("cells.ini", cellsText)
	if err != nil {
		t.Fatal(err)
	}
	want := Cells{Name: "lima", DelegateJobs: true, ShortageFor: 10 * time.Second, MaxWait: time.Minute, Repeatable: map[string]bool{"report": true},
		Neighbours: []Neighbour{
			{Name: "arequipa", Controllers: []string{"10.1.0.1:8081", "10.1.0.2:8081"}, Preference: 1, MaxJobs: 100, MaxCores: 32, ReclaimAfter: 90 * time.Second},
			{Name: "puno", Controllers: []string{"10.2.0.1:8081"}, Preference: 2, MaxJobs: 100, MaxCores: 256, MaxOfferedCores: 8, ReclaimAfter: 5 * time.Minute, Draining: true},
		}}
	if !reflect.DeepEqual(operator.Cells, want) {
		t.Errorf("read %+v\nwant %+v", operator.Cells, want)
	}
}

// TestCellsFile checks that the example file of the sections about cells is valid.
func TestCellsFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/cells.ini")
	if err != nil {
		t.Fatal(err)
	}
	operator, err := ParseOperator("cells.ini", string(text))
	if err != nil || operator.Cells.Name != "lima" || len(operator.Cells.Neighbours) != 1 {
		t.Errorf("deploy/cells.ini: read %+v, %v, want cell lima with one neighbour", operator.Cells, err)
	}
}

// TestCellsRefused checks that invalid and contradictory sections about cells are rejected, and
// that the address of one of this cell's controllers is not accepted for a neighbour.
func TestCellsRefused(t *testing.T) {
	cases := []struct{ name, from, to, want string }{
		{"a neighbour with this cell's name", "[neighbour.puno]", "[neighbour.lima]", "another cell than this one"},
		{"two neighbours with the same name", "[neighbour.puno]", "[neighbour.arequipa]", "declared once"},
		{"without the name of this cell", "name = lima", "", "this cell's name"},
		{"an invalid name", "name = lima", "name = Lima Norte", wantCellName},
		{"two neighbours with the same preference", "preference = 2", "preference = 1", "preference"},
		{"two neighbours with the same address", "10.2.0.1:8081", "10.1.0.1:8081", "listed once"},
		{"a neighbour without addresses", "controllers = 10.2.0.1:8081", "", "controllers"},
		{"a host name instead of an IP address", "10.2.0.1:8081", "puno:8081", "IP addresses"},
		{"an unknown key", "lend_cores = 8", "lend = 8", "known here"},
		{"a negative bound", "lend_cores = 8", "lend_cores = -8", "a number between"},
		{"a switch that is neither yes nor no", "drain = yes", "drain = soon", "yes or no"},
		{"a class without the key repeat", "repeat = yes", "", "declared"},
		{"a class declared twice", "[class.report]", "[class.report]\nrepeat = no\n[class.report]", "declared once"},
		{"delegating without neighbours", cellsText[strings.Index(cellsText, "[neighbour.puno]"):], "", "no without neighbours"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseOperator("cells.ini", strings.Replace(cellsText, c.from, c.to, 1))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want one that contains %q", err, c.want)
			}
		})
	}
	platform, err := ParsePlatform("p.toml", platformText)
	if err != nil {
		t.Fatal(err)
	}
	operator, err := ParseOperator("cells.ini", strings.Replace(cellsText, "10.2.0.1:8081", platform.Peers[0].Addr, 1))
	if err != nil {
		t.Fatal(err)
	}
	if err := CheckNeighbours(platform, operator); !errors.Is(err, ErrConflict) {
		t.Errorf("a neighbour with the address of a controller of this cell returned %v, want ErrConflict", err)
	}
}
