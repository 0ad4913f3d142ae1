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
var page string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) },
	"style":   func() template.CSS { return template.CSS(chart.Style) },
	"figure":  func(x float64) string { return fmt.Sprintf("%.3f", x) },
}).Parse(page))

const mostRows = 64 // boxes drawn one by one; beyond, rooms alone

// heat is one row for each box: how busy it was, and its conditions.
func heat(run *Run) template.HTML {
	boxes := run.Boxes[:min(len(run.Boxes), mostRows)]
	c := chart.New(run.LengthS, 0, chart.RowHeight*float64(len(boxes)), "")
	for k, box := range boxes {
		cells := make([]chart.Cell, len(box.Busy))
		for i, busy := range box.Busy {
			letter := box.Condition[i]
			cells[i] = chart.Cell{Busy: busy, Away: strings.IndexByte("xvfh", letter) >= 0, Mark: letter == 'c' || letter == 'd',
				Title: fmt.Sprintf("%s (%s) %.0f s: %.0f%% busy, %d in hand, %d arrived%s", box.Name, box.Room,
					float64(i)*run.SampleS, 100*busy, box.Held[i], box.Arrived[i], condition(letter))}
		}
		c.Row(k, box.Name, run.SampleS, cells)
	}
	return c.SVG()
}

// chartNotes are the notes of a run as charts take them.
func chartNotes(run *Run) (all []chart.Note) {
	for _, n := range run.Notes {
		all = append(all, chart.Note{At: n.AtS, Text: n.Text})
	}
	return all
}

func condition(letter byte) string {
	if s := states(string(letter)); s != "" {
		return ", " + s
	}
	return ""
}

// drawnCauses are so many as have colours.
const drawnCauses = 4

// lost draws the worth that was not earned, each second, by its largest causes.
func lost(run *Run) (template.HTML, []string) {
	var names []string
	var lines [][]float64
	most := 1e-9
	for i, c := range run.Best.Causes {
		if c.Worth <= 0 || len(names) == drawnCauses {
			continue
		}
		names, lines = append(names, c.Text()), append(lines, run.Best.Seconds[i])
		for _, v := range run.Best.Seconds[i] {
			most = max(most, v)
		}
	}
	c := chart.New(run.LengthS, most, chart.Height, "")
	c.Notes(chartNotes(run))
	for k, line := range lines {
		c.Line(fmt.Sprintf("room%d", k), 1, line)
	}
	return c.SVG(), names
}

// HTML writes the report as one page that needs nothing else.
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
		LostBy                        []string // the causes that are drawn
	}
	d := data{Report: r, Run: run, Others: r.Runs, Reasons: reasons(run.Why)}
	for _, rule := range run.Rules {
		d.Broken += rule.Broken
	}
	total := run.Total
	total.Name = "all"
	d.Tallies = append(append(append(d.Tallies, total), run.Classes...), append(run.Plans[:len(run.Plans):len(run.Plans)], run.Ways...)...)

	service := chart.New(run.LengthS, 1, chart.Height, "")
	service.Notes(chartNotes(run))
	var each []float64
	asked, layers := 1.0, make([][]float64, 3)
	for _, s := range run.Seconds {
		v := 1.0
		if s.Worth > 0 {
			v = s.Earned / s.Worth
		}
		each = append(each, v)
		asked = max(asked, float64(s.Asked))
		layers[0], layers[1], layers[2] = append(layers[0], float64(s.Served)), append(layers[1], float64(s.Refused)), append(layers[2], float64(s.Failed))
	}
	service.Line("good", 1, each)
	d.ServiceChart = service.SVG()
	if len(run.Seconds) > 0 {
		requests := chart.New(run.LengthS, asked, chart.Height, "")
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
		d.Rooms, d.Heat, d.Left = rooms.SVG(), heat(run), max(0, len(run.Boxes)-mostRows)
	}
	if run.Best != nil {
		d.Lost, d.LostBy = lost(run)
	}
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, d); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return writeWhole(path, b.Bytes())
}
