package rolloutreport

import (
	"fmt"
	"html/template"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"leadproxy/internal/svg"
)

// The size of a plot.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// teamRow is a line of the summary.
type teamRow struct {
	Team       string
	Jobs, Most int
	Total      time.Duration
}

// WritePage writes a page: how many jobs of each team were disrupted at a time, when machines
// went, the plans' phases, and each disrupted job with its cause.
func WritePage(out io.Writer, t *Timeline) error {
	var data struct {
		*Timeline
		Rows                []teamRow
		Disrupted, Machines template.HTML
	}
	data.Timeline = t
	for _, team := range t.Teams() {
		data.Rows = append(data.Rows, t.summary(team))
	}
	from := t.start()
	lines := map[string][]Count{}
	for _, team := range t.Teams() {
		lines[team] = t.Disrupted(team)
	}
	var returns []Count
	for i, r := range t.Returns {
		returns = append(returns, Count{r.At, i + 1})
	}
	var err error
	if data.Disrupted, err = steps("disrupted jobs", from, t.Teams(), lines); err != nil {
		return err
	}
	if data.Machines, err = steps("machines", from, []string{"drained"}, map[string][]Count{"drained": returns}); err != nil {
		return err
	}
	return page.Execute(out, data)
}

func (t *Timeline) summary(team string) teamRow {
	r := teamRow{Team: team, Most: t.Most(team)}
	for _, d := range t.Disruptions {
		if d.Team != team {
			continue
		}
		r.Jobs++
		if !d.Over.IsZero() {
			r.Total += d.Over.Sub(d.Began)
		}
	}
	r.Total = r.Total.Round(time.Second)
	return r
}

// start is when the first thing happened.
func (t *Timeline) start() (first time.Time) {
	earlier := func(at time.Time) {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	for _, p := range t.Phases {
		earlier(p.At)
	}
	for _, d := range t.Disruptions {
		earlier(d.Began)
	}
	return first
}

// For is how long a disruption lasted.
func (d Disruption) For() string {
	if d.Over.IsZero() {
		return "not over"
	}
	return d.Over.Sub(d.Began).Round(100 * time.Millisecond).String()
}

// steps draws counts over time, as an SVG.
func steps(what string, from time.Time, names []string, counts map[string][]Count) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "seconds since the beginning"
	p.Y.Label.Text = what
	p.X.Min, p.Y.Min = 0, 0
	p.Add(plotter.NewGrid())
	for i, name := range names {
		line := plotter.XYs{{X: 0, Y: 0}}
		for _, c := range counts[name] {
			x := c.At.Sub(from).Seconds()
			line = append(line, plotter.XY{X: x, Y: line[len(line)-1].Y}, plotter.XY{X: x, Y: float64(c.N)})
		}
		drawn, err := plotter.NewLine(line)
		if err != nil {
			return "", fmt.Errorf("plot of %s: %w", what, err)
		}
		drawn.Color, drawn.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(drawn)
		p.Legend.Add(name, drawn)
	}
	return svg.Draw(p, plotWidth, plotHeight)
}

var page = template.Must(template.New("drains").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Draining</title>
<style>
body { font: 14px sans-serif; margin: 2em; }
table { border-collapse: collapse; margin-bottom: 2em; }
td, th { text-align: left; padding: 2px 10px; }
</style></head><body>
<h1>Draining</h1>
<p>{{len .Returns}} machines returned, {{len .Disruptions}} disruptions of jobs.</p>
<table><tr><th>team</th><th>jobs disrupted</th><th>at once at most</th><th>altogether</th></tr>
{{range .Rows}}<tr><td>{{.Team}}</td><td>{{.Jobs}}</td><td>{{.Most}}</td><td>{{.Total}}</td></tr>
{{end}}</table>
<h2>Disrupted jobs by team</h2>
{{.Disrupted}}
<h2>Machines</h2>
{{.Machines}}
<h2>Plans</h2>
<table><tr><th>at</th><th>plan</th><th>phase</th><th>step</th><th>machines drained</th><th>why</th></tr>
{{range .Phases}}<tr><td>{{.At.Format "15:04:05.000"}}</td><td>{{.Plan}}</td><td>{{.Phase}}</td><td>{{.Step}}</td><td>{{.Drained}}</td><td>{{.Why}}</td></tr>
{{end}}</table>
<h2>Disruptions</h2>
<table><tr><th>from</th><th>job</th><th>team</th><th>class</th><th>cause</th><th>for</th></tr>
{{range .Disruptions}}<tr><td>{{.Began.Format "15:04:05.000"}}</td><td>{{.Job}}</td><td>{{.Team}}</td><td>{{.Class}}</td><td>{{.Cause}}</td><td>{{.For}}</td></tr>
{{end}}</table>
<h2>Machines returned</h2>
<table><tr><th>at</th><th>machine</th></tr>
{{range .Returns}}<tr><td>{{.At.Format "15:04:05.000"}}</td><td>{{.Machine}}</td></tr>
{{end}}</table>
</body></html>
`))
