package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Cells says which other cells of the operator there are and what passes between them.
// Without a name the cell has no neighbours: nothing is offered and nothing is taken.
type Cells struct {
	// Name is this cell's, and the same for all its controllers.
	Name string
	// Spill has this cell offer jobs; without it, it only takes guests.
	Spill bool
	// ShortageFor is how long a shortage must last before jobs are offered, and calm
	// before that ends.
	ShortageFor time.Duration
	// MaxWait is how long a job without a deadline may be expected to wait.
	MaxWait time.Duration
	// TraceFile is where the steps of transfers are traced to; "": nowhere.
	TraceFile string
	// Neighbours are in order of preference.
	Neighbours []Neighbour
	// Repeatable holds the classes whose jobs may run again after an uncertain run.
	// All others must run at most once.
	Repeatable map[string]bool
}

// Neighbour is another cell.
type Neighbour struct {
	Name string
	// Controllers are the back addresses of its controllers.
	Controllers []string
	// Preference orders the neighbours, the lowest first.
	Preference int
	// MaxJobs and MaxCores bound what is away there at once.
	MaxJobs  int
	MaxCores float64
	// LendCores bounds what is lent to it at once.
	LendCores float64
	// TakeBack is after how long without an answer a repeatable job is taken back.
	TakeBack time.Duration
	// Drain ends the relation: nothing more is offered to it or taken from it.
	Drain bool
}

// Find returns the neighbour of a name.
func (c *Cells) Find(name string) (Neighbour, bool) {
	i := slices.IndexFunc(c.Neighbours, func(n Neighbour) bool { return n.Name == name })
	if i < 0 {
		return Neighbour{}, false
	}
	return c.Neighbours[i], true
}

// The sections of the file.
const (
	cellSection       = "cell"
	neighbourSections = "neighbour."
	classSections     = "class."
)

// isCells tells whether a section is about cells.
func isCells(section string) bool {
	return section == cellSection || strings.HasPrefix(section, neighbourSections) || strings.HasPrefix(section, classSections)
}

// defaultCells are the settings of a cell that has only its name.
func defaultCells() Cells {
	return Cells{ShortageFor: 10 * time.Second, MaxWait: time.Minute, Repeatable: map[string]bool{}}
}

// defaultNeighbour are the bounds of a neighbour that has only its addresses.
func defaultNeighbour(name string) Neighbour {
	return Neighbour{Name: name, MaxJobs: 100, MaxCores: 256, TakeBack: 5 * time.Minute}
}

var cellName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,38}[a-z0-9])?$`)

const wantName = "a name of up to 40 lower-case letters, digits and hyphens"

// sectionReader reads sections and gathers what is wrong with them.
type sectionReader struct {
	path, text string
	errs       []error
}

// cellReader reads the sections about cells.
type cellReader struct {
	sectionReader
	cells Cells
}

func (r *sectionReader) fail(section, key, value, want string) {
	r.errs = append(r.errs, &FieldError{File: r.path, Line: lineOf(r.text, section, key), Key: section + "." + key, Value: strconv.Quote(value), Want: want})
}

// readCells reads all sections about cells of a file.
func readCells(path, text string, f *ini.File) (Cells, []error) {
	r := &cellReader{sectionReader{path: path, text: text}, defaultCells()}
	r.duplicates()
	for _, s := range f.Sections() {
		name := s.Name()
		switch {
		case name == cellSection:
			r.readCell(s)
		case strings.HasPrefix(name, neighbourSections):
			r.readNeighbour(s, strings.TrimPrefix(name, neighbourSections))
		case strings.HasPrefix(name, classSections):
			r.readClass(s, strings.TrimPrefix(name, classSections))
		}
	}
	slices.SortStableFunc(r.cells.Neighbours, func(a, b Neighbour) int { return a.Preference - b.Preference })
	r.check()
	return r.cells, r.errs
}

// duplicates refuses sections that stand twice, which the library would merge.
func (r *cellReader) duplicates() {
	seen := map[string]bool{}
	for n, line := range strings.Split(r.text, "\n") {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "[") || !strings.HasSuffix(line, "]") {
			continue
		}
		name := strings.TrimSpace(line[1 : len(line)-1])
		if isCells(name) && seen[name] {
			r.errs = append(r.errs, &FieldError{File: r.path, Line: n + 1, Key: name, Value: strconv.Quote(line), Want: "a section that stands once: two cells of one name, or two declarations"})
		}
		seen[name] = true
	}
}

// each hands a section's keys to their readers; a reader tells what it wants unless the
// value is right.
func (r *sectionReader) each(s *ini.Section, keys map[string]func(value string) (want string)) {
	for _, k := range s.Keys() {
		read, ok := keys[k.Name()]
		if !ok {
			r.fail(s.Name(), k.Name(), k.Value(), "a key that is known here")
			continue
		}
		if want := read(strings.TrimSpace(k.Value())); want != "" {
			r.fail(s.Name(), k.Name(), k.Value(), want)
		}
	}
}

func (r *cellReader) readCell(s *ini.Section) {
	c := &r.cells
	r.each(s, map[string]func(string) string{
		"name": func(v string) string {
			c.Name = v
			return unless(cellName.MatchString(v), wantName)
		},
		"spill":      flag(&c.Spill),
		"shortage_s": duration(&c.ShortageFor, 1, 3600),
		"max_wait_s": duration(&c.MaxWait, 1, 86400),
		"trace_file": func(v string) string {
			c.TraceFile = v
			return ""
		},
	})
}

func (r *cellReader) readNeighbour(s *ini.Section, name string) {
	n := defaultNeighbour(name)
	if !cellName.MatchString(name) {
		r.fail(s.Name(), "", name, wantName)
	}
	r.each(s, map[string]func(string) string{
		"controllers": func(v string) string { return readAddresses(v, &n.Controllers) },
		"preference": func(v string) string {
			var p float64
			want := number(v, &p, 0, 1000)
			n.Preference = int(p)
			return want
		},
		"max_jobs": func(v string) string {
			var jobs float64
			want := number(v, &jobs, 0, 1e6)
			n.MaxJobs = int(jobs)
			return want
		},
		"max_cores":   func(v string) string { return number(v, &n.MaxCores, 0, 1e9) },
		"lend_cores":  func(v string) string { return number(v, &n.LendCores, 0, 1e9) },
		"take_back_s": duration(&n.TakeBack, 10, 86400),
		"drain":       flag(&n.Drain),
	})
	if len(n.Controllers) == 0 {
		r.fail(s.Name(), "controllers", "", "the back addresses of its controllers")
	}
	r.cells.Neighbours = append(r.cells.Neighbours, n)
}

func (r *cellReader) readClass(s *ini.Section, name string) {
	repeatable := false
	r.each(s, map[string]func(string) string{"repeat": flag(&repeatable)})
	if !s.HasKey("repeat") {
		r.fail(s.Name(), "repeat", "", "declared: yes if a job may run again after an uncertain run, no if it must run at most once")
	}
	r.cells.Repeatable[name] = repeatable
}

// check looks at what the sections say together.
func (r *cellReader) check() {
	c := &r.cells
	if c.Name == "" && len(c.Neighbours) > 0 {
		r.fail(cellSection, "name", "", "this cell's name, since there are neighbours")
	}
	if c.Spill && len(c.Neighbours) == 0 {
		r.fail(cellSection, "spill", "yes", "no without neighbours")
	}
	preferences, addresses := map[int]string{}, map[string]string{}
	for _, n := range c.Neighbours {
		section := neighbourSections + n.Name
		if n.Name == c.Name {
			r.fail(section, "", n.Name, "another cell than this one")
		}
		if other, taken := preferences[n.Preference]; taken && len(c.Neighbours) > 1 {
			r.fail(section, "preference", strconv.Itoa(n.Preference), "a place in the order that "+other+" does not have")
		}
		preferences[n.Preference] = n.Name
		for _, a := range n.Controllers {
			if other, taken := addresses[a]; taken {
				r.fail(section, "controllers", a, "addresses that stand once; "+other+" has it too")
			}
			addresses[a] = n.Name
		}
	}
}

// CheckCells looks at what the operators' file and the platform's say together.
func CheckCells(p *Platform, o Operator) error {
	for _, n := range o.Cells.Neighbours {
		for _, own := range p.Controllers() {
			if slices.Contains(n.Controllers, own.Addr) {
				return fmt.Errorf("neighbour %s: %s is the address of a controller of this cell", n.Name, own.Addr)
			}
		}
	}
	return nil
}

func unless(right bool, want string) string {
	if right {
		return ""
	}
	return want
}

func flag(into *bool) func(string) string {
	return func(v string) string {
		switch v {
		case "yes":
			*into = true
		case "no":
			*into = false
		default:
			return "yes or no"
		}
		return ""
	}
}

func number(v string, into *float64, least, most float64) string {
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= least) || n > most {
		return fmt.Sprintf("a number from %v to %v", least, most)
	}
	*into = n
	return ""
}

func duration(into *time.Duration, least, most float64) func(string) string {
	return func(v string) string {
		var seconds float64
		want := number(v, &seconds, least, most)
		if want == "" {
			*into = Seconds(seconds)
		}
		return want
	}
}

func readAddresses(v string, into *[]string) string {
	for _, a := range strings.Split(v, ",") {
		a = strings.TrimSpace(a)
		if _, err := netip.ParseAddrPort(a); err != nil {
			return "IP addresses and ports separated by commas, as in 10.1.0.1:8081, 10.1.0.2:8081"
		}
		*into = append(*into, a)
	}
	return ""
}
