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

func TestCells(t *testing.T) {
	o, err := ParseOperator("cells.ini", cellsText)
	if err != nil {
		t.Fatal(err)
	}
	want := Cells{Name: "lima", DelegateJobs: true, ShortageFor: 10 * time.Second, MaxWait: time.Minute, Repeatable: map[string]bool{"report": true},
		Neighbours: []Neighbour{
			{Name: "arequipa", Controllers: []string{"10.1.0.1:8081", "10.1.0.2:8081"}, Preference: 1, MaxJobs: 100, MaxCores: 32, ReclaimAfter: 90 * time.Second},
			{Name: "puno", Controllers: []string{"10.2.0.1:8081"}, Preference: 2, MaxJobs: 100, MaxCores: 256, MaxOfferedCores: 8, ReclaimAfter: 5 * time.Minute, Draining: true},
		}}
	if !reflect.DeepEqual(o.Cells, want) {
		t.Errorf("read %+v\nwant %+v", o.Cells, want)
	}
}

// TestCellsFile: the file that operators start from is valid.
func TestCellsFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/cells.ini")
	if err != nil {
		t.Fatal(err)
	}
	o, err := ParseOperator("cells.ini", string(text))
	if err != nil || o.Cells.Name != "lima" || len(o.Cells.Neighbours) != 1 {
		t.Errorf("%+v, %v", o.Cells, err)
	}
}

func TestCellsRefused(t *testing.T) {
	cases := []struct{ name, from, to, want string }{
		{"a neighbour with this cell's name", "[neighbour.puno]", "[neighbour.lima]", "another cell than this one"},
		{"two cells of one name", "[neighbour.puno]", "[neighbour.arequipa]", "declared once"},
		{"no name", "name = lima", "", "this cell's name"},
		{"an invalid name", "name = lima", "name = Lima Norte", wantCellName},
		{"two with one preference", "preference = 2", "preference = 1", "preference"},
		{"one address for two", "10.2.0.1:8081", "10.1.0.1:8081", "listed once"},
		{"no addresses", "controllers = 10.2.0.1:8081", "", "controllers"},
		{"a name for an address", "10.2.0.1:8081", "puno:8081", "IP addresses"},
		{"an unknown key", "lend_cores = 8", "lend = 8", "known here"},
		{"a negative bound", "lend_cores = 8", "lend_cores = -8", "a number between"},
		{"neither yes nor no", "drain = yes", "drain = soon", "yes or no"},
		{"a class without declaration", "repeat = yes", "", "declared"},
		{"a class declared twice", "[class.report]", "[class.report]\nrepeat = no\n[class.report]", "declared once"},
		{"delegating without neighbours", cellsText[strings.Index(cellsText, "[neighbour.puno]"):], "", "no without neighbours"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseOperator("cells.ini", strings.Replace(cellsText, c.from, c.to, 1))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want one on %q", err, c.want)
			}
		})
	}
	p, err := ParsePlatform("p.toml", platformText)
	if err != nil {
		t.Fatal(err)
	}
	o, err := ParseOperator("cells.ini", strings.Replace(cellsText, "10.2.0.1:8081", p.Peers[0].Addr, 1))
	if err != nil {
		t.Fatal(err)
	}
	if err := CheckNeighbours(p, o); !errors.Is(err, ErrConflict) {
		t.Errorf("the address of a controller of this cell is accepted as a neighbour's: %v", err)
	}
}
