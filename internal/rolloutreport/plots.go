package rolloutreport

import (
	"fmt"
	"html/template"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"leadproxy/internal/svg"
)

// Size of each plot.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// series is a line of a plot.
type series struct {
	name    string
	samples []Sample
}

// plotDisruptedJobs draws the number of disrupted jobs of each team.
func (t *Timeline) plotDisruptedJobs() (template.HTML, error) {
	var lines []series
	for _, team := range t.Teams() {
		lines = append(lines, series{team, t.DisruptedJobs(team)})
	}
	return plotSteps("disrupted jobs", t.startTime(), lines)
}

// plotDrainedMachines draws the cumulative number of drained machines that were returned.
func (t *Timeline) plotDrainedMachines() (template.HTML, error) {
	line := series{name: "drained"}
	for i, machineReturn := range t.Returns {
		line.samples = append(line.samples, Sample{At: machineReturn.At, Count: i + 1})
	}
	return plotSteps("machines", t.startTime(), []series{line})
}

// plotSteps draws counts over the time since start as step lines, as an SVG.
func plotSteps(label string, start time.Time, lines []series) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "seconds since the beginning"
	p.Y.Label.Text = label
	p.X.Min, p.Y.Min = 0, 0
	p.Add(plotter.NewGrid())
	for i, line := range lines {
		drawn, err := plotter.NewLine(line.stepPoints(start))
		if err != nil {
			return "", fmt.Errorf("plot of %s: %w", label, err)
		}
		drawn.Color, drawn.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(drawn)
		p.Legend.Add(line.name, drawn)
	}
	return svg.Draw(p, plotWidth, plotHeight)
}

// stepPoints returns the points of a step line, which starts at 0 and changes only at the samples.
func (s series) stepPoints(start time.Time) plotter.XYs {
	points := plotter.XYs{{X: 0, Y: 0}}
	for _, sample := range s.samples {
		x := sample.At.Sub(start).Seconds()
		points = append(points, plotter.XY{X: x, Y: points[len(points)-1].Y}, plotter.XY{X: x, Y: float64(sample.Count)})
	}
	return points
}
