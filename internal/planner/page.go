package planner

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"example.org/madderdrum/internal/chart"
)

//go:embed page.html
var page string

var pageTemplate = template.Must(template.New("plan").Funcs(template.FuncMap{
	"percent": func(x any) string {
		if p, ok := x.(*float64); ok {
			x = *p
		}
		return fmt.Sprintf("%.1f%%", 100*x.(float64))
	},
	"style": func() template.CSS { return template.CSS(chart.Style) },
}).Parse(page))

// HTML writes the plan as a self-contained HTML page.
func (r *Report) HTML(w io.Writer) error {
	d := struct {
		*Report
		Total       int
		Binds       Hour
		Need, Serve template.HTML
	}{Report: r, Binds: r.Hours[r.Binding]}
	for _, x := range r.Rooms {
		d.Total += x.Boxes
	}
	var need, needWithLoss, available, served, servedAfterLoss, servedAfterReturn []float64
	most := float64(d.Total)
	for _, h := range r.Hours {
		need, needWithLoss, available = append(need, float64(h.Boxes)), append(needWithLoss, float64(h.BoxesLoss)), append(available, float64(d.Total))
		served, servedAfterLoss, servedAfterReturn = append(served, h.Served), append(servedAfterLoss, h.ServedLoss), append(servedAfterReturn, h.ServedCold)
		most = max(most, float64(h.BoxesLoss))
	}
	length := float64(len(r.Hours))
	draw := func(most float64, lines ...[]float64) template.HTML {
		c := chart.NewWithUnit(length, "h", most, chart.Height, "")
		for k, line := range lines {
			if len(line) == 1 { // a constant for the whole period
				line = []float64{line[0], line[0]}
				c.Line(fmt.Sprintf("room%d", k), length/2, line)
				continue
			}
			c.Line(fmt.Sprintf("room%d", k), 1, line)
		}
		return c.SVG()
	}
	d.Need, d.Serve = draw(most, need, needWithLoss, available), draw(1, served, servedAfterLoss, servedAfterReturn)
	if err := pageTemplate.Execute(w, d); err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	return nil
}
