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
	warmColor = color.RGBA{R: 0x2b, G: 0x6c, B: 0xb0, A: 0xff}
	coldColor = color.RGBA{R: 0xc0, G: 0x56, B: 0x21, A: 0xff}
)

// row is a line of the summary.
type row struct {
	Phase, How          string
	Count               int
	P50, P90, P99, Most float64
}

// section is a phase with its plot.
type section struct {
	Name string
	Plot template.HTML
}

// WritePage writes a page: percentiles of each phase, its distribution with and without a
// standby's view, and all takeovers.
func WritePage(out io.Writer, all []Takeover) error {
	var data struct {
		Rows      []row
		Sections  []section
		BySize    []section
		Takeovers []Takeover
	}
	data.Takeovers = all
	for _, p := range Phases {
		for _, warm := range []bool{true, false} {
			values := times(all, p, warm)
			if len(values) == 0 {
				continue
			}
			data.Rows = append(data.Rows, row{p.Name, how(warm), len(values), percentile(values, 0.5), percentile(values, 0.9), percentile(values, 0.99), values[len(values)-1]})
		}
		text, err := distribution(all, p)
		if err != nil {
			return fmt.Errorf("plot %s: %w", p.Name, err)
		}
		data.Sections = append(data.Sections, section{p.Name, text})
	}
	for _, s := range sizes {
		text, err := bySize(all, s)
		if err != nil {
			return fmt.Errorf("plot by %s: %w", s.name, err)
		}
		data.BySize = append(data.BySize, section{s.name, text})
	}
	return page.Execute(out, data)
}

func how(warm bool) string {
	if warm {
		return "standby's view"
	}
	return "ledger read"
}

// distribution draws which share of the takeovers was over after how long, as an SVG.
func distribution(all []Takeover, phase Phase) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "seconds since the term was won"
	p.Y.Label.Text = "share of takeovers"
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, 1
	p.Add(plotter.NewGrid())
	for _, warm := range []bool{true, false} {
		values := times(all, phase, warm)
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
		drawn.Color, drawn.Width = coldColor, vg.Points(2)
		if warm {
			drawn.Color = warmColor
		}
		p.Add(drawn)
		p.Legend.Add(how(warm), drawn)
	}
	return svg.Draw(p, plotWidth, plotHeight)
}

// size is what takeovers are shown by, and the time that grows with it.
type size struct {
	name, time string
	of         func(t Takeover) plotter.XY
}

var sizes = []size{
	{"number of jobs", "seconds to the view", func(t Takeover) plotter.XY { return plotter.XY{X: float64(t.Jobs), Y: t.View} }},
	{"number of machines", "seconds until settled", func(t Takeover) plotter.XY { return plotter.XY{X: float64(t.Machines), Y: t.Settled} }},
}

// bySize draws each takeover's time by a size, as an SVG.
func bySize(all []Takeover, s size) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = s.name, s.time
	p.X.Min, p.Y.Min = 0, 0
	p.Add(plotter.NewGrid())
	for _, warm := range []bool{true, false} {
		var points plotter.XYs
		for _, t := range all {
			if t.Warm == warm {
				points = append(points, s.of(t))
			}
		}
		if len(points) == 0 {
			continue
		}
		drawn, err := plotter.NewScatter(points)
		if err != nil {
			return "", err
		}
		drawn.Color = coldColor
		if warm {
			drawn.Color = warmColor
		}
		p.Add(drawn)
		p.Legend.Add(how(warm), drawn)
	}
	return svg.Draw(p, plotWidth, plotHeight)
}

var page = template.Must(template.New("takeovers").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Takeovers</title>
<style>
body { font: 14px sans-serif; margin: 2em; }
table { border-collapse: collapse; margin-bottom: 2em; }
td, th { text-align: right; padding: 2px 10px; }
td:first-child, th:first-child, td:nth-child(2), th:nth-child(2) { text-align: left; }
</style></head><body>
<h1>Takeovers</h1>
<p>{{len .Takeovers}} takeovers. Seconds since the term was won.</p>
<table><tr><th>phase</th><th>how</th><th>takeovers</th><th>p50</th><th>p90</th><th>p99</th><th>most</th></tr>
{{range .Rows}}<tr><td>{{.Phase}}</td><td>{{.How}}</td><td>{{.Count}}</td><td>{{printf "%.3f" .P50}}</td><td>{{printf "%.3f" .P90}}</td><td>{{printf "%.3f" .P99}}</td><td>{{printf "%.3f" .Most}}</td></tr>
{{end}}</table>
{{range .Sections}}<h2>{{.Name}}</h2>
{{.Plot}}
{{end}}
{{range .BySize}}<h2>By {{.Name}}</h2>
{{.Plot}}
{{end}}
<h2>All</h2>
<table><tr><th>at</th><th>how</th><th>term</th><th>view</th><th>first decision</th><th>settled</th><th>jobs</th><th>machines</th></tr>
{{range .Takeovers}}<tr><td>{{.At.Format "2006-01-02 15:04:05.000"}}</td><td>{{if .Warm}}standby's view{{else}}ledger read{{end}}</td><td>{{.Term}}</td><td>{{printf "%.3f" .View}}</td><td>{{printf "%.3f" .Decided}}</td><td>{{printf "%.3f" .Settled}}</td><td>{{.Jobs}}</td><td>{{.Machines}}</td></tr>
{{end}}</table>
</body></html>
`))
