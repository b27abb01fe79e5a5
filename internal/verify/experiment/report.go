package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"html/template"
	"image/color"
	"os"
	"path/filepath"
	"slices"

	"github.com/parquet-go/parquet-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// palette is of colours that people with any sight tell apart (Okabe and Ito, 2008).
var palette = []color.RGBA{{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255},
	{230, 159, 0, 255}, {86, 180, 233, 255}, {0, 0, 0, 255}}

// WriteReport makes one page with charts and tables of a directory's results, which needs
// no other file.
func WriteReport(dir, path string) error {
	rows, err := ReadRuns(dir)
	if err != nil {
		return err
	}
	seconds, err := parquet.ReadFile[SecondRow](filepath.Join(dir, "seconds.parquet"))
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		return errors.New("there are no runs")
	}
	page := struct {
		Plan, Hash, Program string
		Runs                int
		Broken              int64
		Charts              []chart
		Table               []Summary
	}{Plan: rows[0].Plan, Hash: rows[0].Hash, Program: rows[0].Program, Table: Summarize(rows)}
	for _, r := range rows {
		if r.Scope == "all" {
			page.Runs++
			page.Broken += r.Violations
		}
	}
	for _, of := range []string{"class", "team"} {
		c, err := earnedChart(page.Table, of)
		if err != nil {
			return err
		}
		page.Charts = append(page.Charts, c)
	}
	c, err := timeChart(rows, seconds)
	if err != nil {
		return err
	}
	page.Charts = append(page.Charts, c)
	var out bytes.Buffer
	if err := reportPage.Execute(&out, page); err != nil {
		return err
	}
	return os.WriteFile(path, out.Bytes(), 0o644)
}

type chart struct {
	Title, Note string
	SVG         template.HTML
}

// A chart's size, and the room that a legend takes beside the names, in their places.
const (
	pageWidth, pageHeight = 24 * vg.Centimeter, 9 * vg.Centimeter
	legendRoom            = 0.9
)

// render draws a plot as SVG. What goes into the page is our own drawing, with texts
// escaped by the library.
func render(p *plot.Plot, title, note string) (chart, error) {
	p.BackgroundColor = color.White
	c := vgsvg.New(pageWidth, pageHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return chart{}, err
	}
	svg := b.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:] // no XML head within a page
	}
	return chart{title, note, template.HTML(svg)}, nil
}

// earnedChart has a bar for each class or team and combination, with its interval.
func earnedChart(table []Summary, of string) (chart, error) {
	var names, factors []string
	for _, s := range table {
		if s.Scope != of {
			continue
		}
		if !slices.Contains(names, s.Name) {
			names = append(names, s.Name)
		}
		if !slices.Contains(factors, s.Factors) {
			factors = append(factors, s.Factors)
		}
	}
	p := plot.New()
	p.Y.Label.Text = "worth earned (part of what was asked)"
	p.Legend.Top = true
	// A name's bars share its place, and the legend has a place of its own beside them.
	step := 0.8 / float64(len(factors))
	places := float64(len(names)) + legendRoom
	width := vg.Length(step/places) * (pageWidth - 2*vg.Centimeter)
	for i, f := range factors {
		at := (float64(i) - float64(len(factors)-1)/2) * step
		vals, bars := make(plotter.Values, len(names)), errorBars{}
		for k, name := range names {
			for _, s := range table {
				if s.Scope == of && s.Name == name && s.Factors == f {
					vals[k] = s.EarnedShare.Mean
					bars.XYs = append(bars.XYs, plotter.XY{X: float64(k) + at, Y: s.EarnedShare.Mean})
					bars.YErrors = append(bars.YErrors, struct{ Low, High float64 }{
						s.EarnedShare.Mean - s.EarnedShare.Low, s.EarnedShare.High - s.EarnedShare.Mean})
				}
			}
		}
		b, err := plotter.NewBarChart(vals, width)
		if err != nil {
			return chart{}, err
		}
		b.Color, b.LineStyle.Width, b.XMin = palette[i%len(palette)], 0, at
		p.Add(b)
		p.Legend.Add(f, b)
		e, err := plotter.NewYErrorBars(bars)
		if err != nil {
			return chart{}, err
		}
		p.Add(e)
	}
	p.NominalX(names...)
	p.X.Min, p.X.Max = -0.5, places-0.5
	p.Y.Min, p.Y.Max = 0, 1
	return render(p, "Worth earned by "+of, "Means over the seeds, with intervals of 95 % by bootstrap.")
}

type errorBars struct {
	plotter.XYs
	plotter.YErrors
}

// timeChart has the part of each second's jobs that was served in time, by combination,
// over all seeds.
func timeChart(rows []Row, seconds []SecondRow) (chart, error) {
	cells := map[int32]string{}
	var order []string
	for _, r := range rows {
		cells[r.Run] = r.Factors
		if !slices.Contains(order, r.Factors) {
			order = append(order, r.Factors)
		}
	}
	type sum struct{ ended, inTime float64 }
	sums := map[string][]sum{}
	for _, s := range seconds {
		f := cells[s.Run]
		for len(sums[f]) <= int(s.Second) {
			sums[f] = append(sums[f], sum{})
		}
		at := &sums[f][s.Second]
		at.ended += float64(s.Served + s.Rejected + s.Failed)
		at.inTime += float64(s.InTime)
	}
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "time (s)", "ended in time (part of those that ended)"
	p.Y.Min, p.Y.Max = 0, 1
	p.Add(plotter.NewGrid())
	for i, f := range order {
		var line plotter.XYs
		for at, s := range sums[f] {
			if s.ended > 0 {
				line = append(line, plotter.XY{X: float64(at), Y: s.inTime / s.ended})
			}
		}
		l, err := plotter.NewLine(line)
		if err != nil {
			return chart{}, fmt.Errorf("the time line of %s: %w", f, err)
		}
		l.Color, l.Width = palette[i%len(palette)], vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(f, l)
	}
	p.X.Max *= 1.3 // the legend's room
	return render(
		p,
		"Served in time, second by second",
		"All seeds together; jobs count in the second in which they end.",
	)
}

var reportPage = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(v float64) string { return fmt.Sprintf("%.1f %%", 100*v) },
	"ms": func(v float64) string {
		if v == 0 {
			return "" // of all classes together it says nothing
		}
		return fmt.Sprintf("%.0f", v)
	},
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Plan}}</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 60rem; margin: 2rem auto; padding: 0 1rem;
  color: #222; }
svg { max-width: 100%; height: auto; }
table { border-collapse: collapse; }
td, th { padding: .2rem .8rem; border-bottom: 1px solid #ddd; text-align: right; white-space: nowrap; }
td:nth-child(-n+3), th:nth-child(-n+3) { text-align: left; }
.note { color: #666; }
.bad { color: #a00; font-weight: bold; }
</style></head><body>
<h1>{{.Plan}}</h1>
<p>{{.Runs}} runs in virtual time; plan {{.Hash}}, program {{.Program}}.
{{if .Broken}}<span class="bad">{{.Broken}} rules were broken.</span>{{else}}No rule was broken.{{end}}</p>
{{range .Charts}}<h2>{{.Title}}</h2><p class="note">{{.Note}}</p>{{.SVG}}{{end}}
<h2>Figures</h2><p class="note">Means over the seeds, with intervals of 95 % by bootstrap.</p>
<table><tr><th>factors</th><th>of</th><th>name</th><th>worth earned</th><th>95 %</th>
<th>in time</th><th>95 %</th><th>p99, ms</th></tr>
{{range .Table}}<tr><td>{{.Factors}}</td><td>{{.Scope}}</td><td>{{.Name}}</td>
{{- "" -}}
<td>{{percent .EarnedShare.Mean}}</td>
<td>{{percent .EarnedShare.Low}} to {{percent .EarnedShare.High}}</td><td>{{percent .InTime.Mean}}</td>
<td>{{percent .InTime.Low}} to {{percent .InTime.High}}</td><td>{{ms .P99.Mean}}</td></tr>
{{end}}</table></body></html>
`))

// LogLogChart draws lines over two logarithmic axes, as SVG. All values must be above 0.
func LogLogChart(x, y string, order []string, lines map[string][][2]float64) ([]byte, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Add(plotter.NewGrid())
	for i, name := range order {
		var at plotter.XYs
		for _, v := range lines[name] {
			if v[0] <= 0 || v[1] <= 0 {
				return nil, fmt.Errorf("%s: there is no logarithm of %v", name, v)
			}
			at = append(at, plotter.XY{X: v[0], Y: v[1]})
		}
		l, dots, err := plotter.NewLinePoints(at)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		l.Color, l.Width, dots.Color = palette[i%len(palette)], vg.Points(1.5), palette[i%len(palette)]
		p.Add(l, dots)
		p.Legend.Add(name, l)
	}
	p.Legend.Left = true
	c, err := render(p, "", "")
	return []byte(c.SVG), err
}
