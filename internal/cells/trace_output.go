package cells

import (
	"fmt"
	"html/template"
	"io"
	"text/tabwriter"
	"time"
)

// WriteText writes the traces of jobs as text: a heading and a line for each step.
func WriteText(out io.Writer, jobs []*JobTrace) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, job := range jobs {
		fmt.Fprintf(w, "%s of %s, trace %s, %s\n", job.JobID, job.Origin, job.TraceID, formatSeconds(job.Duration()))
		for _, s := range job.Steps {
			fmt.Fprintf(w, "  +%s\t%s\t%s\tepoch %d\t%s\t%s\n", formatSeconds(s.End.Sub(job.Start)), s.Side, s.cell(), s.Epoch, s.Name, s.Reason)
		}
	}
	return w.Flush()
}

// formatSeconds formats a duration in seconds with three decimals.
func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.3fs", d.Seconds()) }

// cell returns the name of the cell that recorded the step.
func (s *Step) cell() string {
	if s.Side == sideOrigin {
		return s.Origin
	}
	return s.Neighbour
}

// stepBar is a step on the HTML page. Left and Width are the position and the width of its bar, in
// percent of the duration of the job's trace.
type stepBar struct {
	Step
	Cell        string
	Offset      string
	Left, Width float64
}

// jobView is a job's trace on the HTML page.
type jobView struct {
	*JobTrace
	Took string
	Bars []stepBar
}

// minBarWidth, in percent, keeps the bar of a step without duration visible.
const minBarWidth = 0.6

func newJobView(job *JobTrace) jobView {
	view := jobView{JobTrace: job, Took: formatSeconds(job.Duration())}
	totalSeconds := max(job.Duration().Seconds(), 1e-3)
	for _, s := range job.Steps {
		left := 100 * s.Start.Sub(job.Start).Seconds() / totalSeconds
		width := max(100*s.End.Sub(s.Start).Seconds()/totalSeconds, minBarWidth)
		view.Bars = append(view.Bars, stepBar{
			Step:   s,
			Cell:   s.cell(),
			Offset: "+" + formatSeconds(s.End.Sub(job.Start)),
			Left:   min(left, 100-minBarWidth),
			Width:  min(width, 100-left+minBarWidth),
		})
	}
	return view
}

// WritePage writes the traces of jobs as an HTML page: a line for each step, with a bar that lasts
// from the preceding step to this one.
func WritePage(out io.Writer, jobs []*JobTrace) error {
	var views []jobView
	for _, job := range jobs {
		views = append(views, newJobView(job))
	}
	return tracePage.Execute(out, views)
}

var tracePage = template.Must(template.New("traces").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Transfers between cells</title>
<style>
body { font: 14px sans-serif; margin: 2em; }
table { border-collapse: collapse; width: 100%; margin-bottom: 2em; }
td, th { text-align: left; padding: 2px 8px; white-space: nowrap; }
td.line { width: 50%; background: #f2f2f2; }
svg { display: block; width: 100%; height: 14px; }
.home { fill: #2b6cb0; } .neighbour { fill: #c05621; }
</style></head><body>
<h1>Transfers between cells</h1>
<p>{{len .}} jobs. Blue: at home; orange: at the neighbour. A bar begins with the step before.</p>
{{range .}}<h2>{{.JobID}} of {{.Origin}}, {{.Took}}</h2>
<p>trace {{.TraceID}}</p>
<table><tr><th>at</th><th>cell</th><th>epoch</th><th>step</th><th></th><th>reason</th></tr>
{{range .Bars}}<tr><td>{{.Offset}}</td><td>{{.Cell}}</td><td>{{.Epoch}}</td><td>{{.Name}}</td>
<td class="line"><svg viewBox="0 0 100 10" preserveAspectRatio="none"><rect class="{{.Side}}" x="{{printf "%.3f" .Left}}" y="1" width="{{printf "%.3f" .Width}}" height="8"/></svg></td>
<td>{{.Reason}}</td></tr>
{{end}}</table>
{{end}}</body></html>
`))
