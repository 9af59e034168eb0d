// Package svg renders plots as SVG for HTML reports.
package svg

import (
	"bytes"
	"fmt"
	"html/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Draw renders a plot as an <svg> element that can be embedded in an HTML page.
func Draw(p *plot.Plot, width, height vg.Length) (template.HTML, error) {
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var encoded bytes.Buffer
	if _, err := canvas.WriteTo(&encoded); err != nil {
		return "", fmt.Errorf("encode the plot: %w", err)
	}
	// The encoder writes an XML declaration first, which is not valid inside an HTML page.
	file := encoded.Bytes()
	start := max(0, bytes.Index(file, []byte("<svg")))
	return template.HTML(file[start:]), nil
}
