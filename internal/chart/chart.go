// Package chart draws the SVG charts of reports: lines, stacked bars and rows of cells over time.
package chart

import (
	_ "embed"
	"fmt"
	"html"
	"html/template"
	"math"
	"strings"
)

// Style is the CSS of pages with charts, for light and dark color schemes.
//
//go:embed style.css
var Style string

// Note is an event to mark in a chart, at a time in seconds.
type Note struct {
	At   float64
	Text string
}

// Dimensions of the charts, in SVG user units.
const (
	Width      = 900.0
	Height     = 170.0 // usual height without the time axis
	LeftMargin = 52.0
	RowHeight  = 14.0 // of a row of cells
	axisHeight = 22.0
)

// Chart is an SVG picture under construction: axes to which lines, bars and rows are added.
type Chart struct {
	builder  strings.Builder
	duration float64 // seconds
	maxValue float64
	height   float64
}

// New returns a chart with a time axis of length seconds and values up to most. If most is 0, it has no
// value axis and holds only rows. unit is appended to the labels of the value axis.
func New(length, most, height float64, unit string) *Chart {
	return NewWithUnit(length, "s", most, height, unit)
}

// NewWithUnit is New with another unit of the time axis, such as "h".
func NewWithUnit(length float64, time string, most, height float64, unit string) *Chart {
	c := &Chart{duration: max(1, length), maxValue: most, height: height}
	fmt.Fprintf(&c.builder, `<svg viewBox="0 0 %g %g" role="img">`, Width, height+axisHeight)
	if most > 0 {
		for k := range 5 {
			v := most * float64(k) / 4
			y := c.y(v)
			fmt.Fprintf(&c.builder, `<line class="grid" x1="%g" x2="%g" y1="%.1f" y2="%.1f"/><text class="axis" x="%g" y="%.1f" text-anchor="end">%s</text>`,
				LeftMargin, Width, y, y, LeftMargin-6, y+4, html.EscapeString(tickLabel(v)+unit))
		}
	}
	step := math.Pow(10, math.Floor(math.Log10(c.duration/5)))
	for c.duration/step > 12 {
		step *= 2
	}
	for t := 0.0; t <= c.duration*0.985; t += step {
		fmt.Fprintf(&c.builder, `<text class="axis" x="%.1f" y="%.1f" text-anchor="middle">%g %s</text>`, c.X(t), height+16, t, html.EscapeString(time))
	}
	return c
}

func tickLabel(v float64) string {
	if v == math.Trunc(v) || v >= 10 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.2g", v)
}

// X returns the horizontal position of a time in seconds.
func (c *Chart) X(t float64) float64 { return LeftMargin + (Width-LeftMargin)*t/c.duration }
func (c *Chart) y(v float64) float64 { return c.height - (c.height-6)*max(0, min(1, v/c.maxValue)) }

// Line draws a line through values at intervals of step, starting at time 0.
func (c *Chart) Line(class string, step float64, values []float64) {
	var points strings.Builder
	for i, v := range values {
		fmt.Fprintf(&points, "%.1f,%.1f ", c.X((float64(i)+0.5)*step), c.y(v))
	}
	fmt.Fprintf(&c.builder, `<polyline class="%s" points="%s"/>`, class, points.String())
}

// Stack draws stacked bars, one per step; classes are the CSS classes of the layers.
func (c *Chart) Stack(step float64, classes []string, layers [][]float64) {
	for i := range layers[0] {
		base := 0.0
		for k, layer := range layers {
			if layer[i] <= 0 {
				continue
			}
			y0, y1 := c.y(base), c.y(base+layer[i])
			fmt.Fprintf(&c.builder, `<rect class="%s" x="%.1f" y="%.1f" width="%.2f" height="%.1f"/>`, classes[k], c.X(float64(i)*step), y1,
				max(0.5, c.X(step)-c.X(0)-0.4), y0-y1)
			base += layer[i]
		}
	}
}

// Notes draws a vertical line with a tooltip for each note.
func (c *Chart) Notes(notes []Note) {
	for _, n := range notes {
		fmt.Fprintf(&c.builder, `<line class="note" x1="%.1f" x2="%.1f" y1="0" y2="%g"><title>%.1f s: %s</title></line>`,
			c.X(n.At), c.X(n.At), c.height, n.At, html.EscapeString(n.Text))
	}
}

// SVG returns the finished picture.
func (c *Chart) SVG() template.HTML { return template.HTML(c.builder.String() + "</svg>") }

// Cell is the state of one box during one step.
type Cell struct {
	Busy        float64 // used share of its cores, shown as color
	Unavailable bool    // it accepts no requests
	Outlined    bool    // outlined: it is cold or drains
	Title       string  // tooltip
}

// Row draws row k: the name of a box and a cell for each step of that many seconds.
func (c *Chart) Row(k int, name string, step float64, cells []Cell) {
	y := RowHeight * float64(k)
	fmt.Fprintf(&c.builder, `<text class="axis" x="%g" y="%.1f" text-anchor="end">%s</text>`, LeftMargin-6, y+11, html.EscapeString(shortenName(name)))
	for i, cell := range cells {
		style := fmt.Sprintf(`fill="hsl(%.0f 75%% %.0f%%)"`, 205-180*min(1, cell.Busy), 94-46*min(1, cell.Busy))
		if cell.Unavailable {
			style = `class="away"`
		}
		stroke := ""
		if cell.Outlined {
			stroke = ` stroke="#7a4fd0" stroke-width="1"`
		}
		fmt.Fprintf(&c.builder, `<rect x="%.1f" y="%.1f" width="%.2f" height="%g" %s%s><title>%s</title></rect>`,
			c.X(float64(i)*step), y, max(0.5, c.X(step)-c.X(0)), RowHeight-1, style, stroke, html.EscapeString(cell.Title))
	}
}

func shortenName(name string) string {
	if len(name) > 7 {
		return name[:6] + "…"
	}
	return name
}
