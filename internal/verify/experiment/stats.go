package experiment

import (
	"errors"
	"math/rand/v2"
	"slices"
)

// Estimate is the mean of values with a 95% bootstrap confidence interval.
type Estimate struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	N    int     `json:"n"`
}

// resamples is the number of bootstrap resamples. The bootstrap uses a fixed seed, so the same table always
// gives the same estimates.
const resamples = 2000

// Bootstrap estimates the mean of values. Without values it returns the zero Estimate.
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

// Summary summarizes the runs of a combination for a class, a team or all classes together.
type Summary struct {
	Factors     string   `json:"factors"`
	Scope       string   `json:"of"` // see Row.Scope
	Name        string   `json:"name"`
	EarnedShare Estimate `json:"earned"`
	InTime      Estimate `json:"in_time"` // share of the jobs that arrived
	P99         Estimate `json:"p99_ms"`
}

// group identifies the runs of a combination for a class, a team or all classes together.
type group struct{ factors, scope, name string }

func groupOf(r Row) group { return group{r.Factors, r.Scope, r.Name} }

// groupRows returns the groups in the order of their first rows, and the rows of each group.
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

// metric is a value of a row that is estimated and compared.
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

// Summarize returns estimates over the seeds for each group of a table of runs.
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

// Difference is the difference of a metric between two tables, paired by seed.
type Difference struct {
	Factors     string   `json:"factors"`
	Scope       string   `json:"of"` // see Row.Scope
	Name        string   `json:"name"`
	Metric      string   `json:"metric"`
	A           float64  `json:"a"`
	B           float64  `json:"b"`
	Change      Estimate `json:"by"`   // B minus A
	Significant bool     `json:"real"` // the interval does not contain 0
}

// Compare pairs the runs of two tables by their levels and seeds, so that random effects common to both
// cancel out. It returns an error if no levels and seeds are common to both.
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
		return nil, errors.New("the tables have no levels and seeds in common")
	}
	return list, nil
}

// difference estimates the paired difference of a metric.
func (g group) difference(m metric, a, b []Row) Difference {
	changes := make([]float64, len(a))
	for i := range a {
		changes[i] = m.value(b[i]) - m.value(a[i])
	}
	e := Bootstrap(changes)
	return Difference{g.factors, g.scope, g.name, m.name, m.estimate(a).Mean, m.estimate(b).Mean, e,
		e.Low > 0 || e.High < 0}
}
