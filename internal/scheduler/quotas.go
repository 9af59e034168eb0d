package scheduler

import (
	"math"

	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
)

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

// team is the quota of one team, and what its tasks use.
type team struct {
	guarantee, limit units
	allocated        units // by all allocations, whatever their state
}

// quotas are the quotas of all teams.
type quotas struct {
	teams       []team
	indexByName map[string]int32
	unknown     int32 // for jobs of teams that the settings no longer name
}

func newQuotas(teams []settings.Team) quotas {
	q := quotas{indexByName: map[string]int32{}}
	for _, t := range teams {
		q.indexByName[t.Name] = int32(len(q.teams))
		q.teams = append(q.teams, team{guarantee: limitUnits(t.CPUs, t.GPUs), limit: limitUnits(t.CPUsMax, t.GPUsMax)})
	}
	q.unknown = int32(len(q.teams))
	q.teams = append(q.teams, team{})
	return q
}

// teamOf returns a team's index.
func (q *quotas) teamOf(name string) int32 {
	if i, ok := q.indexByName[name]; ok {
		return i
	}
	return q.unknown
}

// roomInLimit is how many more tasks of a job its team's limit lets run while
// the team uses so much.
func (q *quotas) roomInLimit(j *job, used units) int {
	limit := q.teams[j.request.team].limit
	need := unitsOf(j.request.size)
	n := math.MaxInt32
	if limit.cpus > 0 && need.cpus > 0 {
		n = min(n, int((limit.cpus-used.cpus)/need.cpus))
	}
	if limit.gpus > 0 && need.gpus > 0 {
		n = min(n, int((limit.gpus-used.gpus)/need.gpus))
	}
	return max(n, 0)
}

// withinLimit tells whether a job's team may have one more of its tasks.
func (q *quotas) withinLimit(j *job, uncertain []units) bool {
	t := &q.teams[j.request.team]
	return t.allocated.plus(uncertain[j.request.team]).plus(unitsOf(j.request.size)).within(t.limit)
}
