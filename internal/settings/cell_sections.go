package settings

import (
	"leadproxy/internal/inifile"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// The names and name prefixes of the sections that configure cells.
const (
	cellSection            = "cell"
	neighbourSectionPrefix = "neighbour."
	classSectionPrefix     = "class."
)

// isCellSection reports whether a section configures cells.
func isCellSection(section string) bool {
	return section == cellSection || strings.HasPrefix(section, neighbourSectionPrefix) || strings.HasPrefix(section, classSectionPrefix)
}

var cellNamePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,38}[a-z0-9])?$`)

const wantCellName = "a name of up to 40 lower-case letters, digits and hyphens"

// cellReader reads the sections that configure cells.
type cellReader struct {
	sectionReader
	cells Cells
}

// readCells reads all sections of a file that configure cells.
func readCells(path, text string, file *ini.File) (Cells, []error) {
	r := &cellReader{sectionReader{path: path, text: text}, defaultCells()}
	r.rejectDuplicateSections()
	for _, section := range file.Sections() {
		name := section.Name()
		switch {
		case name == cellSection:
			r.readCell(section)
		case strings.HasPrefix(name, neighbourSectionPrefix):
			r.readNeighbour(section, strings.TrimPrefix(name, neighbourSectionPrefix))
		case strings.HasPrefix(name, classSectionPrefix):
			r.readClass(section, strings.TrimPrefix(name, classSectionPrefix))
		}
	}
	slices.SortStableFunc(r.cells.Neighbours, func(a, b Neighbour) int { return a.Preference - b.Preference })
	r.checkCell()
	r.checkNeighbours()
	return r.cells, r.errs
}

// rejectDuplicateSections adds an error for each section that is declared again. The INI library
// would merge the declarations without an error.
func (r *cellReader) rejectDuplicateSections() {
	declared := map[string]bool{}
	for i, line := range strings.Split(r.text, "\n") {
		line = strings.TrimSpace(line)
		name, ok := inifile.SectionHeader(line)
		if !ok {
			continue
		}
		if isCellSection(name) && declared[name] {
			r.errs = append(r.errs, &FieldError{File: r.path, Line: i + 1, Key: name, Value: strconv.Quote(line), Want: "a section that is declared once: two cells of one name, or two declarations"})
		}
		declared[name] = true
	}
}

func (r *cellReader) readCell(section *ini.Section) {
	cells := &r.cells
	r.readKeys(section, inifile.Keys{
		"name": {Want: wantCellName, Read: func(value string) bool {
			cells.Name = value
			return cellNamePattern.MatchString(value)
		}},
		"spill":      inifile.YesNo(&cells.DelegateJobs),
		"shortage_s": inifile.Seconds(&cells.ShortageFor, 1, 3600),
		"max_wait_s": inifile.Seconds(&cells.MaxWait, 1, 86400),
		"trace_file": inifile.Text(&cells.TraceFile),
	})
}

func (r *cellReader) readNeighbour(section *ini.Section, name string) {
	neighbour := defaultNeighbour(name)
	if !cellNamePattern.MatchString(name) {
		r.addError(section.Name(), "", name, wantCellName)
	}
	r.readKeys(section, inifile.Keys{
		"controllers": addresses(&neighbour.Controllers),
		"preference":  inifile.TruncatedNumber(&neighbour.Preference, 0, 1000),
		"max_jobs":    inifile.TruncatedNumber(&neighbour.MaxJobs, 0, 1e6),
		"max_cores":   inifile.Number(&neighbour.MaxCores, 0, 1e9),
		"lend_cores":  inifile.Number(&neighbour.MaxOfferedCores, 0, 1e9),
		"take_back_s": inifile.Seconds(&neighbour.ReclaimAfter, 10, 86400),
		"drain":       inifile.YesNo(&neighbour.Draining),
	})
	if len(neighbour.Controllers) == 0 {
		r.addError(section.Name(), "controllers", "", "the addresses at which its controllers serve each other")
	}
	r.cells.Neighbours = append(r.cells.Neighbours, neighbour)
}

func (r *cellReader) readClass(section *ini.Section, name string) {
	repeatable := false
	r.readKeys(section, inifile.Keys{"repeat": inifile.YesNo(&repeatable)})
	if !section.HasKey("repeat") {
		r.addError(section.Name(), "repeat", "", "declared: yes if a job may run again after an uncertain run, no if it must run at most once")
	}
	r.cells.Repeatable[name] = repeatable
}

// checkCell adds errors if the section [cell] contradicts the list of neighbours.
func (r *cellReader) checkCell() {
	if r.cells.Name == "" && len(r.cells.Neighbours) > 0 {
		r.addError(cellSection, "name", "", "this cell's name, since there are neighbours")
	}
	if r.cells.DelegateJobs && len(r.cells.Neighbours) == 0 {
		r.addError(cellSection, "spill", "yes", "no without neighbours")
	}
}

// checkNeighbours adds an error for each neighbour that has the name of this cell, or a preference
// or an address that another neighbour has too.
func (r *cellReader) checkNeighbours() {
	byPreference, byAddress := map[int]string{}, map[string]string{}
	for _, neighbour := range r.cells.Neighbours {
		section := neighbourSectionPrefix + neighbour.Name
		if neighbour.Name == r.cells.Name {
			r.addError(section, "", neighbour.Name, "another cell than this one")
		}
		if other, taken := byPreference[neighbour.Preference]; taken && len(r.cells.Neighbours) > 1 {
			r.addError(section, "preference", strconv.Itoa(neighbour.Preference), "a preference that "+other+" does not have")
		}
		byPreference[neighbour.Preference] = neighbour.Name
		for _, address := range neighbour.Controllers {
			if other, taken := byAddress[address]; taken {
				r.addError(section, "controllers", address, "addresses that are listed once; "+other+" has it too")
			}
			byAddress[address] = neighbour.Name
		}
	}
}
