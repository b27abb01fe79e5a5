package portablemath

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"
)

// unitsApart returns how many float64 values a and b, of one sign, are apart.
func unitsApart(a, b float64) uint64 {
	x, y := math.Float64bits(a), math.Float64bits(b)
	return max(x, y) - min(x, y)
}

func TestResultsAreNearTheStandardLibrarys(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200_000 {
		x := (random.Float64() - 0.5) * 1400
		if got, want := Exp(x), math.Exp(x); unitsApart(got, want) > 2 {
			t.Fatalf("Exp(%v): got %v, want %v", x, got, want)
		}
		if got, want := Exp2(x), math.Exp2(x); unitsApart(got, want) > 2 {
			t.Fatalf("Exp2(%v): got %v, want %v", x, got, want)
		}
		if got, want := Log(math.Abs(x)), math.Log(math.Abs(x)); unitsApart(got, want) > 2 {
			t.Fatalf("Log(%v): got %v, want %v", math.Abs(x), got, want)
		}
	}
}

func TestSpecialValues(t *testing.T) {
	infinity, nan := math.Inf(1), math.NaN()
	for _, c := range []struct {
		name     string
		function func(float64) float64
		x, want  float64
	}{
		{"Exp", Exp, nan, nan}, {"Exp", Exp, infinity, infinity}, {"Exp", Exp, -infinity, 0},
		{"Exp", Exp, 710, infinity}, {"Exp", Exp, -746, 0}, {"Exp", Exp, 0, 1},
		{"Exp", Exp, 1e-10, 1 + 1e-10},
		{"Exp2", Exp2, nan, nan}, {"Exp2", Exp2, infinity, infinity}, {"Exp2", Exp2, -infinity, 0},
		{"Exp2", Exp2, 1024, infinity}, {"Exp2", Exp2, -1075, 0}, {"Exp2", Exp2, 0, 1},
		{"Exp2", Exp2, -3, 0.125},
		{"Exp2", Exp2, -1074, math.SmallestNonzeroFloat64},
		{"Log", Log, nan, nan}, {"Log", Log, infinity, infinity}, {"Log", Log, -1, nan}, {"Log", Log, 1, 0},
		{"Log", Log, 0, -infinity}, {"Log", Log, math.SmallestNonzeroFloat64, -744.4400719213812},
	} {
		got := c.function(c.x)
		if got != c.want && !(math.IsNaN(got) && math.IsNaN(c.want)) {
			t.Errorf("%s(%v): got %v, want %v", c.name, c.x, got, c.want)
		}
	}
}

func TestVariatesHaveTheirMeanAndVariance(t *testing.T) {
	for _, c := range []struct {
		name           string
		variate        func(*rand.Rand) float64
		mean, variance float64
	}{{"Exponential", Exponential, 1, 1}, {"Normal", Normal, 0, 1}} {
		const n = 400_000
		random := rand.New(rand.NewPCG(5, 6))
		sum, squares := 0.0, 0.0
		for range n {
			x := c.variate(random)
			sum += x
			squares += x * x
		}
		mean := sum / n
		variance := squares/n - mean*mean
		if math.Abs(mean-c.mean) > 0.01 || math.Abs(variance-c.variance) > 0.02 {
			t.Errorf("%s: got mean %v and variance %v, want %v and %v", c.name, mean, variance, c.mean,
				c.variance)
		}
	}
	for x := 0.001; x < 100; x *= 1.7 {
		if got, want := Pow(x, 2.5), math.Pow(x, 2.5); math.Abs(got-want) > 1e-13*want {
			t.Errorf("Pow(%v, 2.5): got %v, want %v", x, got, want)
		}
	}
}

// Guards against results that differ between processors: a digest of many, computed once, holds on all.
func TestResultsAreTheSameOnEveryProcessor(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	digest := fnv.New64a()
	for range 100_000 {
		x := (random.Float64() - 0.5) * 200
		for _, result := range []float64{Exp(x), Exp2(x), Log(math.Abs(x)), Normal(random),
			Exponential(random)} {
			if err := binary.Write(digest, binary.BigEndian, result); err != nil {
				t.Fatal(err)
			}
		}
	}
	const want = 0x67dc6b634ba764ab
	if got := digest.Sum64(); got != want {
		t.Errorf("got the digest %#x, want %#x", got, want)
	}
}
