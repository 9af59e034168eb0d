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

// The size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

var (
	standbyColor = color.RGBA{R: 0x2b, G: 0x6c, B: 0xb0, A: 0xff}
	ledgerColor  = color.RGBA{R: 0xc0, G: 0x56, B: 0x21, A: 0xff}
)

// summaryRow is a line of the summary.
type summaryRow struct {
	Phase, Source      string
	Count              int
	P50, P90, P99, Max float64
}

// plotSection is a phase with its plot.
type plotSection struct {
	Name string
	Plot template.HTML
}

// WritePage writes an HTML page: percentiles and distribution of each phase, with and without a
// standby, the durations by size, and all failovers.
func WritePage(out io.Writer, all []Failover) error {
	var data struct {
		Rows      []summaryRow
		Sections  []plotSection
		BySize    []plotSection
		Failovers []Failover
	}
	data.Failovers = all
	for _, p := range Phases {
		for _, fromStandby := range []bool{true, false} {
			values := phaseDurations(all, p, fromStandby)
			if len(values) == 0 {
				continue
			}
			data.Rows = append(data.Rows, summaryRow{p.Name, sourceName(fromStandby), len(values), percentile(values, 0.5), percentile(values, 0.9), percentile(values, 0.99), values[len(values)-1]})
		}
		text, err := plotDistribution(all, p)
		if err != nil {
			return fmt.Errorf("plot %s: %w", p.Name, err)
		}
		data.Sections = append(data.Sections, plotSection{p.Name, text})
	}
	for _, s := range sizeAxes {
		text, err := plotBySize(all, s)
		if err != nil {
			return fmt.Errorf("plot by %s: %w", s.name, err)
		}
		data.BySize = append(data.BySize, plotSection{s.name, text})
	}
	return pageTemplate.Execute(out, data)
}

// sourceName names where the new leader had the ledger's content from.
func sourceName(fromStandby bool) string {
	if fromStandby {
		return "standby's replica"
	}
	return "ledger read"
}

// plotDistribution draws the cumulative distribution of a phase's duration as an SVG.
func plotDistribution(all []Failover, phase Phase) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "seconds since the term was won"
	p.Y.Label.Text = "share of failovers"
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, 1
	p.Add(plotter.NewGrid())
	for _, fromStandby := range []bool{true, false} {
		values := phaseDurations(all, phase, fromStandby)
		if len(values) == 0 {
			continue
		}
		steps := plotter.XYs{{X: 0, Y: 0}}
		for i, v := range values {
			steps = append(steps, plotter.XY{X: v, Y: float64(i) / float64(len(values))}, plotter.XY{X: v, Y: float64(i+1) / float64(len(values))})
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

// sizeAxis is a size of the cluster, and the duration that grows with it.
type sizeAxis struct {
	name, durationLabel string
	point               func(t Failover) plotter.XY
}

var sizeAxes = []sizeAxis{
	{"number of jobs", "seconds until the ledger is known", func(t Failover) plotter.XY { return plotter.XY{X: float64(t.Jobs), Y: t.ViewReady} }},
	{"number of machines", "seconds until no host is in doubt", func(t Failover) plotter.XY { return plotter.XY{X: float64(t.Machines), Y: t.Resolved} }},
}

// plotBySize draws each failover's duration by a size as an SVG.
func plotBySize(all []Failover, s sizeAxis) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = s.name, s.durationLabel
	p.X.Min, p.Y.Min = 0, 0
	p.Add(plotter.NewGrid())
	for _, fromStandby := range []bool{true, false} {
		var points plotter.XYs
		for _, t := range all {
			if t.FromStandby == fromStandby {
				points = append(points, s.point(t))
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
