package replay

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"strings"

	"example.org/madderdrum/internal/chart"
)

//go:embed report.html
var pageSource string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) },
	"style":   func() template.CSS { return template.CSS(chart.Style) },
	"figure":  func(x float64) string { return fmt.Sprintf("%.3f", x) },
}).Parse(pageSource))

const maxHeatRows = 64 // further boxes count only in the chart of rooms

// heatChart draws one row per box: its utilization and condition over time.
func heatChart(run *Run) template.HTML {
	boxes := run.Boxes[:min(len(run.Boxes), maxHeatRows)]
	c := chart.New(run.LengthS, 0, chart.RowHeight*float64(len(boxes)), "")
	for k, box := range boxes {
		cells := make([]chart.Cell, len(box.Busy))
		for i, busy := range box.Busy {
			letter := box.Condition[i]
			cells[i] = chart.Cell{Busy: busy, Unavailable: strings.IndexByte("xvfh", letter) >= 0, Outlined: letter == 'c' || letter == 'd',
				Title: fmt.Sprintf("%s (%s) %.0f s: %.0f%% busy, %d in hand, %d arrived%s", box.Name, box.Room,
					float64(i)*run.SampleS, 100*busy, box.Held[i], box.Arrived[i], conditionSuffix(letter))}
		}
		c.Row(k, box.Name, run.SampleS, cells)
	}
	return c.SVG()
}

// chartNotes converts the notes of a run to notes of a chart.
func chartNotes(run *Run) (all []chart.Note) {
	for _, n := range run.Notes {
		all = append(all, chart.Note{At: n.AtS, Text: n.Text})
	}
	return all
}

// conditionSuffix returns a comma and the name of a condition, or nothing for a running box.
func conditionSuffix(letter byte) string {
	if s := conditionNames(string(letter)); s != "" {
		return ", " + s
	}
	return ""
}

// maxDrawnCauses is the number of line colours in the style sheet.
const maxDrawnCauses = 4

// lostWorthChart draws the worth not earned in each second by its largest causes, and
// returns the names of the causes drawn.
func lostWorthChart(run *Run) (template.HTML, []string) {
	var names []string
	var lines [][]float64
	highest := 1e-9
	for i, c := range run.Best.Causes {
		if c.Worth <= 0 || len(names) == maxDrawnCauses {
			continue
		}
		names, lines = append(names, c.Text()), append(lines, run.Best.Seconds[i])
		for _, v := range run.Best.Seconds[i] {
			highest = max(highest, v)
		}
	}
	c := chart.New(run.LengthS, highest, chart.Height, "")
	c.Notes(chartNotes(run))
	for k, line := range lines {
		c.Line(fmt.Sprintf("room%d", k), 1, line)
	}
	return c.SVG(), names
}

// HTML writes the report as one self-contained page, with no external resources.
func (r *Report) HTML(path string) error {
	run := r.Runs[0]
	type data struct {
		*Report
		Run                           *Run
		Broken                        int
		ServiceChart, Requests, Rooms template.HTML
		Heat                          template.HTML
		Left                          int
		Tallies                       []Tally
		Others                        []*Run
		Reasons                       []string
		Lost                          template.HTML
		LostBy                        []string // names of the causes in the chart Lost
	}
	d := data{Report: r, Run: run, Others: r.Runs, Reasons: sortedReasons(run.Why)}
	for _, rule := range run.Rules {
		d.Broken += rule.Broken
	}
	total := run.Total
	total.Name = "all"
	d.Tallies = append(append(append(d.Tallies, total), run.Classes...), append(run.Plans[:len(run.Plans):len(run.Plans)], run.Ways...)...)

	service := chart.New(run.LengthS, 1, chart.Height, "")
	service.Notes(chartNotes(run))
	var serviceBySecond []float64
	maxAsked, layers := 1.0, make([][]float64, 3)
	for _, s := range run.Seconds {
		v := 1.0
		if s.Worth > 0 {
			v = s.Earned / s.Worth
		}
		serviceBySecond = append(serviceBySecond, v)
		maxAsked = max(maxAsked, float64(s.Asked))
		layers[0], layers[1], layers[2] = append(layers[0], float64(s.Served)), append(layers[1], float64(s.Refused)), append(layers[2], float64(s.Failed))
	}
	service.Line("good", 1, serviceBySecond)
	d.ServiceChart = service.SVG()
	if len(run.Seconds) > 0 {
		requests := chart.New(run.LengthS, maxAsked, chart.Height, "")
		requests.Stack(1, []string{"served", "refused", "failed"}, layers)
		requests.Notes(chartNotes(run))
		d.Requests = requests.SVG()
	}
	if len(run.Boxes) > 0 {
		rooms := chart.New(run.LengthS, 1.2, chart.Height, "")
		rooms.Notes(chartNotes(run))
		for k, name := range r.Fleet.Rooms {
			var sum []float64
			n := 0.0
			for _, b := range run.Boxes {
				if b.Room == name {
					n++
					for i, v := range b.Busy {
						if i >= len(sum) {
							sum = append(sum, 0)
						}
						sum[i] += v
					}
				}
			}
			for i := range sum {
				sum[i] /= max(1, n)
			}
			rooms.Line(fmt.Sprintf("room%d", k%4), run.SampleS, sum)
		}
		d.Rooms, d.Heat, d.Left = rooms.SVG(), heatChart(run), max(0, len(run.Boxes)-maxHeatRows)
	}
	if run.Best != nil {
		d.Lost, d.LostBy = lostWorthChart(run)
	}
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, d); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return writeAtomically(path, b.Bytes())
}
