// Package chart draws the SVG of reports: lines, bars and rows over time.
package chart

import (
	_ "embed"
	"fmt"
	"html"
	"html/template"
	"math"
	"strings"
)

// Style is the style sheet of pages with charts, in light and dark.
//
//go:embed style.css
var Style string

// Note is something that happened, at a time in seconds.
type Note struct {
	At   float64
	Text string
}

// Shapes of the charts, in the units of their view boxes.
const (
	Width      = 900.0
	Height     = 170.0 // of a usual one
	LeftMargin = 52.0
	RowHeight  = 14.0 // of a box
	bottom     = 22.0
)

// Chart is a frame with a scale, to which lines are added.
type Chart struct {
	b      strings.Builder
	length float64 // seconds
	most   float64
	height float64
}

// New returns a chart of so many seconds and of values up to most, or of rows alone if that
// is 0. unit follows the values of the scale.
func New(length, most, height float64, unit string) *Chart {
	return Over(length, "s", most, height, unit)
}

// Over is New for a length in other units of time, such as "h".
func Over(length float64, time string, most, height float64, unit string) *Chart {
	c := &Chart{length: max(1, length), most: most, height: height}
	fmt.Fprintf(&c.b, `<svg viewBox="0 0 %g %g" role="img">`, Width, height+bottom)
	if most > 0 {
		for k := range 5 {
			v := most * float64(k) / 4
			y := c.y(v)
			fmt.Fprintf(&c.b, `<line class="grid" x1="%g" x2="%g" y1="%.1f" y2="%.1f"/><text class="axis" x="%g" y="%.1f" text-anchor="end">%s</text>`,
				LeftMargin, Width, y, y, LeftMargin-6, y+4, html.EscapeString(tick(v)+unit))
		}
	}
	step := math.Pow(10, math.Floor(math.Log10(c.length/5)))
	for c.length/step > 12 {
		step *= 2
	}
	for t := 0.0; t <= c.length*0.985; t += step {
		fmt.Fprintf(&c.b, `<text class="axis" x="%.1f" y="%.1f" text-anchor="middle">%g %s</text>`, c.X(t), height+16, t, html.EscapeString(time))
	}
	return c
}

func tick(v float64) string {
	if v == math.Trunc(v) || v >= 10 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.2g", v)
}

// X is the place of a time in seconds.
func (c *Chart) X(t float64) float64 { return LeftMargin + (Width-LeftMargin)*t/c.length }
func (c *Chart) y(v float64) float64 { return c.height - (c.height-6)*max(0, min(1, v/c.most)) }

// Line draws values that begin at 0 and come every step.
func (c *Chart) Line(class string, step float64, values []float64) {
	var points strings.Builder
	for i, v := range values {
		fmt.Fprintf(&points, "%.1f,%.1f ", c.X((float64(i)+0.5)*step), c.y(v))
	}
	fmt.Fprintf(&c.b, `<polyline class="%s" points="%s"/>`, class, points.String())
}

// Stack draws layers of values on top of each other, a bar a step.
func (c *Chart) Stack(step float64, classes []string, layers [][]float64) {
	for i := range layers[0] {
		base := 0.0
		for k, layer := range layers {
			if layer[i] <= 0 {
				continue
			}
			y0, y1 := c.y(base), c.y(base+layer[i])
			fmt.Fprintf(&c.b, `<rect class="%s" x="%.1f" y="%.1f" width="%.2f" height="%.1f"/>`, classes[k], c.X(float64(i)*step), y1,
				max(0.5, c.X(step)-c.X(0)-0.4), y0-y1)
			base += layer[i]
		}
	}
}

// Notes marks what happened.
func (c *Chart) Notes(notes []Note) {
	for _, n := range notes {
		fmt.Fprintf(&c.b, `<line class="note" x1="%.1f" x2="%.1f" y1="0" y2="%g"><title>%.1f s: %s</title></line>`,
			c.X(n.At), c.X(n.At), c.height, n.At, html.EscapeString(n.Text))
	}
}

// SVG is the picture.
func (c *Chart) SVG() template.HTML { return template.HTML(c.b.String() + "</svg>") }

// Cell is one box for a stretch of time.
type Cell struct {
	Busy  float64 // share of its cores
	Away  bool    // it takes nothing
	Mark  bool    // outlined: cold, or it drains
	Title string  // shown where one points at it
}

// Row draws one box, a cell each step seconds.
func (c *Chart) Row(k int, name string, step float64, cells []Cell) {
	y := RowHeight * float64(k)
	fmt.Fprintf(&c.b, `<text class="axis" x="%g" y="%.1f" text-anchor="end">%s</text>`, LeftMargin-6, y+11, html.EscapeString(clip(name)))
	for i, cell := range cells {
		style := fmt.Sprintf(`fill="hsl(%.0f 75%% %.0f%%)"`, 205-180*min(1, cell.Busy), 94-46*min(1, cell.Busy))
		if cell.Away {
			style = `class="away"`
		}
		stroke := ""
		if cell.Mark {
			stroke = ` stroke="#7a4fd0" stroke-width="1"`
		}
		fmt.Fprintf(&c.b, `<rect x="%.1f" y="%.1f" width="%.2f" height="%g" %s%s><title>%s</title></rect>`,
			c.X(float64(i)*step), y, max(0.5, c.X(step)-c.X(0)), RowHeight-1, style, stroke, html.EscapeString(cell.Title))
	}
}

func clip(name string) string {
	if len(name) > 7 {
		return name[:6] + "…"
	}
	return name
}
