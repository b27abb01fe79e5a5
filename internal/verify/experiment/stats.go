package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// Estimate is a mean over seeds with a confidence interval of 95%, by bootstrap.
type Estimate struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	N    int     `json:"n"`
}

// resamples is how often the bootstrap draws anew; its seed is fixed, so that a table is
// the same each time it is made.
const resamples = 2000

// Bootstrap estimates the mean of values.
func Bootstrap(values []float64) Estimate {
	n := len(values)
	if n == 0 {
		return Estimate{}
	}
	mean := 0.0
	for _, v := range values {
		mean += v / float64(n)
	}
	rng := rand.New(rand.NewPCG(uint64(n), 7))
	means := make([]float64, resamples)
	for i := range means {
		for range n {
			means[i] += values[rng.IntN(n)] / float64(n)
		}
	}
	slices.Sort(means)
	return Estimate{mean, means[resamples*25/1000], means[resamples*975/1000], n}
}

// Summary is a combination of levels in a table.
type Summary struct {
	Factors     string   `json:"factors"`
	Scope       string   `json:"of"`
	Name        string   `json:"name"`
	EarnedShare Estimate `json:"earned"`
	InTime      Estimate `json:"in_time"`
	P99         Estimate `json:"p99_ms"`
}

type group struct{ factors, scope, name string }

func groupRows(rows []Row) (order []group, by map[group][]Row) {
	by = map[group][]Row{}
	for _, r := range rows {
		g := group{r.Factors, r.Scope, r.Name}
		if by[g] == nil {
			order = append(order, g)
		}
		by[g] = append(by[g], r)
	}
	return order, by
}

// metric is what is compared, by name.
var metrics = map[string]func(Row) float64{
	"earned":  func(r Row) float64 { return r.EarnedShare },
	"in_time": func(r Row) float64 { return float64(r.InTime) / max(float64(r.Arrived), 1) },
	"p99_ms":  func(r Row) float64 { return r.P99 },
}

func values(rows []Row, metric string) []float64 {
	out := make([]float64, len(rows))
	for i, r := range rows {
		out[i] = metrics[metric](r)
	}
	return out
}

// Summarize sums a table of runs up.
func Summarize(rows []Row) []Summary {
	order, by := groupRows(rows)
	var list []Summary
	for _, g := range order {
		list = append(list, Summary{g.factors, g.scope, g.name, Bootstrap(values(by[g], "earned")),
			Bootstrap(values(by[g], "in_time")), Bootstrap(values(by[g], "p99_ms"))})
	}
	return list
}

// Difference is how a metric differs between two tables, seed by seed.
type Difference struct {
	Factors     string   `json:"factors"`
	Scope       string   `json:"of"`
	Name        string   `json:"name"`
	Metric      string   `json:"metric"`
	A           float64  `json:"a"`
	B           float64  `json:"b"`
	Change      Estimate `json:"by"`   // B less A
	Significant bool     `json:"real"` // the interval is all on one side of nothing
}

// Compare pairs the runs of two tables by their levels and seeds. Chance that both share
// falls out of the difference.
func Compare(a, b []Row) ([]Difference, error) {
	type key struct {
		group
		seed int64
	}
	other := map[key]Row{}
	for _, r := range b {
		other[key{group{r.Factors, r.Scope, r.Name}, r.Seed}] = r
	}
	order, by := groupRows(a)
	var list []Difference
	for _, g := range order {
		for _, metric := range []string{"earned", "in_time", "p99_ms"} {
			var da, db, diff []float64
			for _, r := range by[g] {
				if s, ok := other[key{g, r.Seed}]; ok {
					x, y := metrics[metric](r), metrics[metric](s)
					da, db, diff = append(da, x), append(db, y), append(diff, y-x)
				}
			}
			if len(diff) == 0 {
				continue
			}
			e := Bootstrap(diff)
			list = append(
				list,
				Difference{g.factors, g.scope, g.name, metric, Bootstrap(da).Mean, Bootstrap(db).Mean, e,
					e.Low > 0 || e.High < 0},
			)
		}
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("the two have no levels and seeds in common")
	}
	return list, nil
}
