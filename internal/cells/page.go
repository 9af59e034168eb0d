package cells

import (
	"fmt"
	"html/template"
	"io"
	"text/tabwriter"
	"time"
)

// WriteText writes the journeys of jobs as tables.
func WriteText(out io.Writer, journeys []*Journey) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, j := range journeys {
		fmt.Fprintf(w, "%s of %s, trace %s, %s\n", j.Job, j.Home, j.Trace, seconds(j.End.Sub(j.Begin)))
		for _, s := range j.Steps {
			fmt.Fprintf(w, "  +%s\t%s\t%s\tepoch %d\t%s\t%s\n", seconds(s.End.Sub(j.Begin)), s.Side, at(s), s.Epoch, s.Name, s.Reason)
		}
	}
	return w.Flush()
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.3fs", d.Seconds()) }

// at is the cell in which a step was taken.
func at(s Step) string {
	if s.Side == sideHome {
		return s.Home
	}
	return s.Cell
}

// bar is a step on the page, in percent of the journey.
type bar struct {
	Step
	At          string
	Offset      string
	Left, Width float64
}

type journeyView struct {
	*Journey
	Took string
	Bars []bar
}

// minWidth keeps a step without duration visible.
const minWidth = 0.6

func view(j *Journey) journeyView {
	v := journeyView{Journey: j, Took: seconds(j.End.Sub(j.Begin))}
	whole := max(j.End.Sub(j.Begin).Seconds(), 1e-3)
	for _, s := range j.Steps {
		left := 100 * s.Begin.Sub(j.Begin).Seconds() / whole
		width := max(100*s.End.Sub(s.Begin).Seconds()/whole, minWidth)
		v.Bars = append(v.Bars, bar{Step: s, At: at(s), Offset: "+" + seconds(s.End.Sub(j.Begin)), Left: min(left, 100-minWidth), Width: min(width, 100-left+minWidth)})
	}
	return v
}

// WritePage writes the journeys of jobs as an HTML page: a line for each step, a bar from
// the step before to it.
func WritePage(out io.Writer, journeys []*Journey) error {
	var views []journeyView
	for _, j := range journeys {
		views = append(views, view(j))
	}
	return page.Execute(out, views)
}

var page = template.Must(template.New("journeys").Parse(`<!DOCTYPE html>
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
{{range .}}<h2>{{.Job}} of {{.Home}}, {{.Took}}</h2>
<p>trace {{.Trace}}</p>
<table><tr><th>at</th><th>cell</th><th>epoch</th><th>step</th><th></th><th>reason</th></tr>
{{range .Bars}}<tr><td>{{.Offset}}</td><td>{{.At}}</td><td>{{.Epoch}}</td><td>{{.Name}}</td>
<td class="line"><svg viewBox="0 0 100 10" preserveAspectRatio="none"><rect class="{{.Side}}" x="{{printf "%.3f" .Left}}" y="1" width="{{printf "%.3f" .Width}}" height="8"/></svg></td>
<td>{{.Reason}}</td></tr>
{{end}}</table>
{{end}}</body></html>
`))
