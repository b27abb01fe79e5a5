package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// palette is a set of colours that remain distinguishable with colour-vision deficiencies (Okabe and Ito,
// 2008).
var palette = []color.RGBA{{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255},
	{230, 159, 0, 255}, {86, 180, 233, 255}, {0, 0, 0, 255}}

// chart is a chart of the report.
type chart struct {
	Title, Caption string
	SVG            template.HTML
}

// lineWidth is the width of all lines.
const lineWidth = 1.5 // points

// The size of a chart, and the width of a bar chart's legend in units of a name's place on the X axis.
const (
	pageWidth, pageHeight = 24 * vg.Centimeter, 9 * vg.Centimeter
	legendPlaces          = 0.9
)

func colorOf(i int) color.RGBA { return palette[i%len(palette)] }

// render draws a plot as SVG. The SVG may be embedded unescaped, because the plot library generates it and
// escapes all texts.
func render(p *plot.Plot, title, caption string) (chart, error) {
	p.BackgroundColor = color.White
	c := vgsvg.New(pageWidth, pageHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return chart{}, err
	}
	svg := b.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:] // drop the XML declaration, which is invalid inside a page
	}
	return chart{title, caption, template.HTML(svg)}, nil
}

// earnedChart draws a bar with its confidence interval for each class or team and each combination.
func earnedChart(table []Summary, scope string) (chart, error) {
	var names, factors []string
	for _, s := range table {
		if s.Scope != scope {
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
	p.Y.Label.Text = "worth earned (share of the offered worth)"
	p.Legend.Top = true
	// The bars of a name share its place on the X axis; the legend has a place to the right of them.
	step := 0.8 / float64(len(factors))
	places := float64(len(names)) + legendPlaces
	width := vg.Length(step/places) * (pageWidth - 2*vg.Centimeter)
	for i, f := range factors {
		at := (float64(i) - float64(len(factors)-1)/2) * step
		values, intervals := earnedBars(table, scope, f, names, at)
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return chart{}, err
		}
		bars.Color, bars.LineStyle.Width, bars.XMin = colorOf(i), 0, at
		p.Add(bars)
		p.Legend.Add(f, bars)
		marks, err := plotter.NewYErrorBars(intervals)
		if err != nil {
			return chart{}, err
		}
		p.Add(marks)
	}
	p.NominalX(names...)
	p.X.Min, p.X.Max = -0.5, places-0.5
	p.Y.Min, p.Y.Max = 0, 1
	return render(p, "Worth earned by "+scope,
		"Means over the seeds with 95 % bootstrap confidence intervals.")
}

// earnedBars returns the bars of a combination, one for each name, at an offset from the names' places.
func earnedBars(table []Summary, scope, factors string, names []string,
	offset float64) (values plotter.Values, intervals errorBars) {
	values = make(plotter.Values, len(names))
	for k, name := range names {
		for _, s := range table {
			if s.Scope == scope && s.Name == name && s.Factors == factors {
				e := s.EarnedShare
				values[k] = e.Mean
				intervals.XYs = append(intervals.XYs, plotter.XY{X: float64(k) + offset, Y: e.Mean})
				intervals.YErrors = append(intervals.YErrors,
					struct{ Low, High float64 }{e.Mean - e.Low, e.High - e.Mean})
			}
		}
	}
	return values, intervals
}

// errorBars are confidence intervals around points.
type errorBars struct {
	plotter.XYs
	plotter.YErrors
}

// timeChart draws, for each combination over all seeds, the share of the jobs ending in each second that were
// served in time.
func timeChart(rows []Row, seconds []SecondRow) (chart, error) {
	factorsOf := map[int32]string{} // by run
	var order []string
	for _, r := range rows {
		factorsOf[r.Run] = r.Factors
		if !slices.Contains(order, r.Factors) {
			order = append(order, r.Factors)
		}
	}
	type sum struct{ ended, inTime float64 }
	sums := map[string][]sum{}
	for _, s := range seconds {
		f := factorsOf[s.Run]
		for len(sums[f]) <= int(s.Second) {
			sums[f] = append(sums[f], sum{})
		}
		at := &sums[f][s.Second]
		at.ended += float64(s.Served + s.Rejected + s.Failed)
		at.inTime += float64(s.InTime)
	}
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "time (s)", "served in time (share of the jobs that ended)"
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
			return chart{}, fmt.Errorf("time chart of %s: %w", f, err)
		}
		l.Color, l.Width = colorOf(i), vg.Points(lineWidth)
		p.Add(l)
		p.Legend.Add(f, l)
	}
	p.X.Max *= 1.3 // space for the legend
	return render(p, "Share served in time per second",
		"All seeds combined; each job counts in the second in which it ends.")
}

// Point is a point of a line in a chart.
type Point struct{ X, Y float64 }

// LogLogChart draws lines with logarithmic axes as SVG. Lines are identified by name and drawn in the given
// order. It returns an error if a value is not above 0.
func LogLogChart(xLabel, yLabel string, order []string, lines map[string][]Point) ([]byte, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = xLabel, yLabel
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Add(plotter.NewGrid())
	for i, name := range order {
		var points plotter.XYs
		for _, v := range lines[name] {
			if v.X <= 0 || v.Y <= 0 {
				return nil, fmt.Errorf("%s: coordinates must be above 0 on logarithmic axes, got %v", name, v)
			}
			points = append(points, plotter.XY(v))
		}
		l, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		l.Color, l.Width, dots.Color = colorOf(i), vg.Points(lineWidth), colorOf(i)
		p.Add(l, dots)
		p.Legend.Add(name, l)
	}
	p.Legend.Left = true
	c, err := render(p, "", "")
	return []byte(c.SVG), err
}
