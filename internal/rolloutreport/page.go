package rolloutreport

import (
	"html/template"
	"io"
	"time"
)

// teamRow is a team's row of the summary table. Total is the sum of the disruptions that have
// ended.
type teamRow struct {
	Team               string
	Jobs, MaxDisrupted int
	Total              time.Duration
}

// report is the data of the page template.
type report struct {
	*Timeline
	Rows                 []teamRow
	JobPlot, MachinePlot template.HTML
}

// WritePage writes the report as an HTML page: the numbers of disrupted jobs of each team and of
// drained machines over time, the phases of the plans, each disrupted job with its cause, and the
// returned machines.
func WritePage(out io.Writer, t *Timeline) error {
	content := report{Timeline: t}
	for _, team := range t.Teams() {
		content.Rows = append(content.Rows, t.summarizeTeam(team))
	}
	var err error
	if content.JobPlot, err = t.plotDisruptedJobs(); err != nil {
		return err
	}
	if content.MachinePlot, err = t.plotDrainedMachines(); err != nil {
		return err
	}
	return reportPage.Execute(out, content)
}

// summarizeTeam returns a team's row of the summary table.
func (t *Timeline) summarizeTeam(team string) teamRow {
	row := teamRow{Team: team, MaxDisrupted: t.MaxDisrupted(team)}
	for _, d := range t.Disruptions {
		if d.Team != team {
			continue
		}
		row.Jobs++
		if !d.End.IsZero() {
			row.Total += d.End.Sub(d.Start)
		}
	}
	row.Total = row.Total.Round(time.Second)
	return row
}

// Duration returns how long the disruption lasted, as text for the page.
func (d Disruption) Duration() string {
	if d.End.IsZero() {
		return "not over"
	}
	return d.End.Sub(d.Start).Round(100 * time.Millisecond).String()
}

var reportPage = template.Must(template.New("rollouts").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Draining</title>
<style>
body { font: 14px sans-serif; margin: 2em; }
table { border-collapse: collapse; margin-bottom: 2em; }
td, th { text-align: left; padding: 2px 10px; }
</style></head><body>
<h1>Draining</h1>
<p>{{len .Returns}} machines returned, {{len .Disruptions}} disruptions of jobs.</p>
<table><tr><th>team</th><th>jobs disrupted</th><th>at once at most</th><th>altogether</th></tr>
{{range .Rows}}<tr><td>{{.Team}}</td><td>{{.Jobs}}</td><td>{{.MaxDisrupted}}</td><td>{{.Total}}</td></tr>
{{end}}</table>
<h2>Disrupted jobs by team</h2>
{{.JobPlot}}
<h2>Machines</h2>
{{.MachinePlot}}
<h2>Plans</h2>
<table><tr><th>at</th><th>plan</th><th>phase</th><th>step</th><th>machines drained</th><th>why</th></tr>
{{range .Phases}}<tr><td>{{.At.Format "15:04:05.000"}}</td><td>{{.Plan}}</td><td>{{.Phase}}</td><td>{{.Step}}</td><td>{{.Drained}}</td><td>{{.Reason}}</td></tr>
{{end}}</table>
<h2>Disruptions</h2>
<table><tr><th>from</th><th>job</th><th>team</th><th>class</th><th>cause</th><th>for</th></tr>
{{range .Disruptions}}<tr><td>{{.Start.Format "15:04:05.000"}}</td><td>{{.JobID}}</td><td>{{.Team}}</td><td>{{.Class}}</td><td>{{.Cause}}</td><td>{{.Duration}}</td></tr>
{{end}}</table>
<h2>Machines returned</h2>
<table><tr><th>at</th><th>machine</th></tr>
{{range .Returns}}<tr><td>{{.At.Format "15:04:05.000"}}</td><td>{{.Machine}}</td></tr>
{{end}}</table>
</body></html>
`))
