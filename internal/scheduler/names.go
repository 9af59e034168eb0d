package scheduler

import (
	"math"
	"strings"

	"leadproxy/internal/slowfit"
)

// names maps names to dense indices.
type names struct {
	index map[string]int32
	list  []string
}

func (n *names) of(name string) int32 {
	if i, ok := n.index[name]; ok {
		return i
	}
	if n.index == nil {
		n.index = map[string]int32{}
	}
	name = strings.Clone(name) // mostly a part of a message's body
	i := int32(len(n.list))
	n.index[name] = i
	n.list = append(n.list, name)
	return i
}

// units counts a team's resources exactly.
type units struct{ cpus, gpus int64 }

const perUnit = 1e6

func unitsOf(s slowfit.Size) units {
	return units{int64(math.Ceil(s.CPUs*perUnit - 1e-3)), int64(math.Ceil(s.GPUs*perUnit - 1e-3))}
}

func (u units) plus(o units) units        { return units{u.cpus + o.cpus, u.gpus + o.gpus} }
func (u units) times(n int) units         { return units{u.cpus * int64(n), u.gpus * int64(n)} }
func (u units) minus(o units) units       { return units{u.cpus - o.cpus, u.gpus - o.gpus} }
func limitUnits(cpus, gpus float64) units { return units{int64(cpus * perUnit), int64(gpus * perUnit)} }

// within tells whether u keeps to a limit; a zero in the limit sets none.
func (u units) within(limit units) bool {
	return (limit.cpus == 0 || u.cpus <= limit.cpus) && (limit.gpus == 0 || u.gpus <= limit.gpus)
}

type team struct {
	guarantee, limit units
	booked           units // all bookings, whatever their state
}
