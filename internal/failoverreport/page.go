package failoverreport

import (
	"fmt"
	"html/template"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"leadproxy/internal/svg"
)

// Size of each plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

var (
	standbyColor = color.RGBA{R: 0x2b, G: 0x6c, B: 0xb0, A: 0xff}
	ledgerColor  = color.RGBA{R: 0xc0, G: 0x56, B: 0x21, A: 0xff}
)

// summaryRow is a row of the summary table. The percentiles are in seconds.
type summaryRow struct {
	Phase, Source      string
	Count              int
	P50, P90, P99, Max float64
}

// plotSection is a section of the page that shows one plot.
type plotSection struct {
	Name string
	Plot template.HTML
}

// WritePage writes the report as an HTML page. It shows the percentiles and the distribution of
// each phase, with and without a standby replica, the durations by size of the cluster, and a table
// of all failovers.
func WritePage(out io.Writer, failovers []Failover) error {
	var data struct {
		Rows      []summaryRow
		Sections  []plotSection
		BySize    []plotSection
		Failovers []Failover
	}
	data.Failovers = failovers
	for _, phase := range Phases {
		for _, fromStandby := range []bool{true, false} {
			durations := phaseDurations(failovers, phase, fromStandby)
			if len(durations) == 0 {
				continue
			}
			data.Rows = append(data.Rows, summaryRow{phase.Name, sourceName(fromStandby), len(durations), percentile(durations, 0.5), percentile(durations, 0.9), percentile(durations, 0.99), durations[len(durations)-1]})
		}
		plotHTML, err := plotDistribution(failovers, phase)
		if err != nil {
			return fmt.Errorf("plot %s: %w", phase.Name, err)
		}
		data.Sections = append(data.Sections, plotSection{phase.Name, plotHTML})
	}
	for _, axis := range sizeAxes {
		plotHTML, err := plotBySize(failovers, axis)
		if err != nil {
			return fmt.Errorf("plot by %s: %w", axis.name, err)
		}
		data.BySize = append(data.BySize, plotSection{axis.name, plotHTML})
	}
	return pageTemplate.Execute(out, data)
}

// sourceName returns the name of the source from which the new leader took the ledger's content.
func sourceName(fromStandby bool) string {
	if fromStandby {
		return "standby's replica"
	}
	return "ledger read"
}

// plotDistribution draws the cumulative distribution of a phase's duration as an SVG, one line per
// source of the ledger's content.
func plotDistribution(failovers []Failover, phase Phase) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "seconds since the term was won"
	p.Y.Label.Text = "share of failovers"
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, 1
	p.Add(plotter.NewGrid())
	for _, fromStandby := range []bool{true, false} {
		durations := phaseDurations(failovers, phase, fromStandby)
		if len(durations) == 0 {
			continue
		}
		steps := plotter.XYs{{X: 0, Y: 0}}
		for i, duration := range durations {
			steps = append(steps, plotter.XY{X: duration, Y: float64(i) / float64(len(durations))}, plotter.XY{X: duration, Y: float64(i+1) / float64(len(durations))})
		}
		drawn, err := plotter.NewLine(steps)
		if err != nil {
			return "", err
		}
		drawn.Color, drawn.Width = ledgerColor, vg.Points(2)
		if fromStandby {
			drawn.Color = standbyColor
		}
		p.Add(drawn)
		p.Legend.Add(sourceName(fromStandby), drawn)
	}
	return svg.Draw(p, plotWidth, plotHeight)
}

// sizeAxis is a measure of the cluster's size and the duration that grows with it. point returns
// the two of a failover as X and Y.
type sizeAxis struct {
	name, durationLabel string
	point               func(f Failover) plotter.XY
}

var sizeAxes = []sizeAxis{
	{"number of jobs", "seconds until the ledger is known", func(f Failover) plotter.XY { return plotter.XY{X: float64(f.Jobs), Y: f.ViewReady} }},
	{"number of machines", "seconds until no host is in doubt", func(f Failover) plotter.XY { return plotter.XY{X: float64(f.Machines), Y: f.Resolved} }},
}

// plotBySize draws the duration of each failover against the cluster's size as an SVG.
func plotBySize(failovers []Failover, axis sizeAxis) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = axis.name, axis.durationLabel
	p.X.Min, p.Y.Min = 0, 0
	p.Add(plotter.NewGrid())
	for _, fromStandby := range []bool{true, false} {
		var points plotter.XYs
		for _, failover := range failovers {
			if failover.FromStandby == fromStandby {
				points = append(points, axis.point(failover))
			}
		}
		if len(points) == 0 {
			continue
		}
		drawn, err := plotter.NewScatter(points)
		if err != nil {
			return "", err
		}
		drawn.Color = ledgerColor
		if fromStandby {
			drawn.Color = standbyColor
		}
		p.Add(drawn)
		p.Legend.Add(sourceName(fromStandby), drawn)
	}
	return svg.Draw(p, plotWidth, plotHeight)
}

var pageTemplate = template.Must(template.New("failovers").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Failovers</title>
<style>
body { font: 14px sans-serif; margin: 2em; }
table { border-collapse: collapse; margin-bottom: 2em; }
td, th { text-align: right; padding: 2px 10px; }
td:first-child, th:first-child, td:nth-child(2), th:nth-child(2) { text-align: left; }
</style></head><body>
<h1>Failovers</h1>
<p>{{len .Failovers}} failovers. Seconds since the term was won.</p>
<table><tr><th>phase</th><th>source</th><th>failovers</th><th>p50</th><th>p90</th><th>p99</th><th>max</th></tr>
{{range .Rows}}<tr><td>{{.Phase}}</td><td>{{.Source}}</td><td>{{.Count}}</td><td>{{printf "%.3f" .P50}}</td><td>{{printf "%.3f" .P90}}</td><td>{{printf "%.3f" .P99}}</td><td>{{printf "%.3f" .Max}}</td></tr>
{{end}}</table>
{{range .Sections}}<h2>{{.Name}}</h2>
{{.Plot}}
{{end}}
{{range .BySize}}<h2>By {{.Name}}</h2>
{{.Plot}}
{{end}}
<h2>All</h2>
<table><tr><th>at</th><th>source</th><th>term</th><th>ledger known</th><th>first decision</th><th>no host in doubt</th><th>jobs</th><th>machines</th></tr>
{{range .Failovers}}<tr><td>{{.At.Format "2006-01-02 15:04:05.000"}}</td><td>{{if .FromStandby}}standby's replica{{else}}ledger read{{end}}</td><td>{{.Term}}</td><td>{{printf "%.3f" .ViewReady}}</td><td>{{printf "%.3f" .FirstDecision}}</td><td>{{printf "%.3f" .Resolved}}</td><td>{{.Jobs}}</td><td>{{.Machines}}</td></tr>
{{end}}</table>
</body></html>
`))
