package portablemath

import (
	"math"
	"math/rand/v2"
)

// Pow returns x**y for x > 0. Its relative error grows with |y ln x|, to some 1e-13 where the result nears
// the limits of a float64.
func Pow(x, y float64) float64 { return Exp(float64(y * Log(x))) }

// Exponential returns an exponentially distributed variate with mean 1.
func Exponential(random *rand.Rand) float64 { return -Log(1 - float64(random.Float64())) }

// Normal returns a normally distributed variate with mean 0 and standard deviation 1, by Marsaglia's polar
// method.
func Normal(random *rand.Rand) float64 {
	for {
		x, y := symmetric(random), symmetric(random)
		square := float64(x*x) + float64(y*y)
		if square > 0 && square < 1 {
			return x * math.Sqrt(-2*Log(square)/square)
		}
	}
}

// symmetric returns a variate that is evenly distributed from -1 to 1.
func symmetric(random *rand.Rand) float64 { return float64(2*float64(random.Float64())) - 1 }
