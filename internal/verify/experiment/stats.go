package experiment

import (
	"errors"
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

// resamples is how often the bootstrap draws; its seed is fixed, so that a table is the same each time it is
// made.
const resamples = 2000

// Bootstrap estimates the mean of values. Of no values it is the zero Estimate.
func Bootstrap(values []float64) Estimate {
	n := len(values)
	if n == 0 {
		return Estimate{}
	}
	mean := 0.0
	for _, v := range values {
		mean += v / float64(n)
	}
	random := rand.New(rand.NewPCG(uint64(n), 7))
	means := make([]float64, resamples)
	for i := range means {
		for range n {
			means[i] += values[random.IntN(n)] / float64(n)
		}
	}
	slices.Sort(means)
	return Estimate{mean, means[resamples*25/1000], means[resamples*975/1000], n}
}

// Summary is a combination of levels in a table, for a class, a team or all.
type Summary struct {
	Factors     string   `json:"factors"`
	Scope       string   `json:"of"` // as Row.Scope
	Name        string   `json:"name"`
	EarnedShare Estimate `json:"earned"`
	InTime      Estimate `json:"in_time"` // share of the jobs that arrived
	P99         Estimate `json:"p99_ms"`
}

// group is the runs of a combination, for a class, a team or all.
type group struct{ factors, scope, name string }

func groupOf(r Row) group { return group{r.Factors, r.Scope, r.Name} }

// groupRows gives the groups in the order of their first rows, and the rows of each.
func groupRows(rows []Row) (order []group, byGroup map[group][]Row) {
	byGroup = map[group][]Row{}
	for _, r := range rows {
		g := groupOf(r)
		if byGroup[g] == nil {
			order = append(order, g)
		}
		byGroup[g] = append(byGroup[g], r)
	}
	return order, byGroup
}

// metric is what is estimated and compared.
type metric struct {
	name  string
	value func(Row) float64
}

var (
	earnedShare = metric{"earned", func(r Row) float64 { return r.EarnedShare }}
	inTimeShare = metric{"in_time", func(r Row) float64 {
		return float64(r.InTime) / max(float64(r.Arrived), 1)
	}}
	p99Millis = metric{"p99_ms", func(r Row) float64 { return r.P99 }}
)

func (m metric) estimate(rows []Row) Estimate {
	values := make([]float64, len(rows))
	for i, r := range rows {
		values[i] = m.value(r)
	}
	return Bootstrap(values)
}

// Summarize summarizes a table of runs over the seeds.
func Summarize(rows []Row) []Summary {
	order, byGroup := groupRows(rows)
	var list []Summary
	for _, g := range order {
		runs := byGroup[g]
		list = append(list, Summary{g.factors, g.scope, g.name, earnedShare.estimate(runs),
			inTimeShare.estimate(runs), p99Millis.estimate(runs)})
	}
	return list
}

// Difference is how a metric differs between two tables, seed by seed.
type Difference struct {
	Factors     string   `json:"factors"`
	Scope       string   `json:"of"` // as Row.Scope
	Name        string   `json:"name"`
	Metric      string   `json:"metric"`
	A           float64  `json:"a"`
	B           float64  `json:"b"`
	Change      Estimate `json:"by"`   // B less A
	Significant bool     `json:"real"` // the interval is all on one side of 0
}

// Compare pairs the runs of two tables by their levels and seeds. Chance that both share falls out of the
// difference. It fails where they have no levels and seeds in common.
func Compare(a, b []Row) ([]Difference, error) {
	type key struct {
		group
		seed int64
	}
	inB := map[key]Row{}
	for _, r := range b {
		inB[key{groupOf(r), r.Seed}] = r
	}
	order, byGroup := groupRows(a)
	var list []Difference
	for _, g := range order {
		var pairsA, pairsB []Row
		for _, r := range byGroup[g] {
			if other, ok := inB[key{g, r.Seed}]; ok {
				pairsA, pairsB = append(pairsA, r), append(pairsB, other)
			}
		}
		if len(pairsA) == 0 {
			continue
		}
		for _, m := range []metric{earnedShare, inTimeShare, p99Millis} {
			list = append(list, g.difference(m, pairsA, pairsB))
		}
	}
	if len(list) == 0 {
		return nil, errors.New("the two have no levels and seeds in common")
	}
	return list, nil
}

// difference compares runs in pairs.
func (g group) difference(m metric, a, b []Row) Difference {
	changes := make([]float64, len(a))
	for i := range a {
		changes[i] = m.value(b[i]) - m.value(a[i])
	}
	e := Bootstrap(changes)
	return Difference{g.factors, g.scope, g.name, m.name, m.estimate(a).Mean, m.estimate(b).Mean, e,
		e.Low > 0 || e.High < 0}
}
