// Package portablemath computes exponentials, logarithms and random variates whose results are the same to
// the bit on every processor.
//
// The functions of the standard library aren't: on some processors they are assembly with another algorithm,
// and where a processor has fused multiply-add, the compiler may round a product and a sum only once. Here
// every product that is added to something is converted explicitly, which rounds it. The algorithms are those
// of FreeBSD's msun library (e_exp.c, e_log.c), which the standard library uses where it has no assembly.
// Errors are below one unit in the last place.
package portablemath

import "math"

const (
	// ln2High and ln2Low add up to the natural logarithm of 2. The high part has 32 zero bits at its end, so
	// that its product with an exponent is exact.
	ln2High = 6.93147180369123816490e-01
	ln2Low  = 1.90821492927058770002e-10
	log2E   = 1.44269504088896338700e+00

	// Exp overflows above maxExpArgument, and is zero below minExpArgument.
	maxExpArgument = 7.09782712893383973096e+02
	minExpArgument = -7.45133219101941108420e+02
	// tinyExpArgument is the magnitude below which e**x and 1 + x have the same float64.
	tinyExpArgument = 1.0 / (1 << 28)

	// Exp2 overflows above maxExp2Argument, and is zero below minExp2Argument.
	maxExp2Argument = 1.0239999999999999e+03
	minExp2Argument = -1.0740e+03
)

// Exp returns e**x. Exp(NaN) is NaN; an overflow is +Inf and an underflow zero.
func Exp(x float64) float64 {
	switch {
	case math.IsNaN(x):
		return x
	case x > maxExpArgument:
		return math.Inf(1)
	case x < minExpArgument:
		return 0
	case -tinyExpArgument < x && x < tinyExpArgument:
		return 1 + x
	}
	exponent := int(float64(log2E*x) + math.Copysign(0.5, x))
	high := x - float64(float64(exponent)*ln2High)
	low := float64(float64(exponent) * ln2Low)
	return expReduced(high, low, exponent)
}

// Exp2 returns 2**x. Exp2(NaN) is NaN; an overflow is +Inf and an underflow zero.
func Exp2(x float64) float64 {
	switch {
	case math.IsNaN(x):
		return x
	case x > maxExp2Argument:
		return math.Inf(1)
	case x < minExp2Argument:
		return 0
	}
	exponent := int(x + math.Copysign(0.5, x))
	rest := x - float64(exponent)
	return expReduced(float64(rest*ln2High), float64(-rest*ln2Low), exponent)
}

// expReduced returns e**(high-low) * 2**exponent, where |high-low| is at most ln(2)/2.
func expReduced(high, low float64, exponent int) float64 {
	// The coefficients of the polynomial in r*r that approximates r * (e**r + 1) / (e**r - 1).
	const (
		p1 = 1.66666666666666657415e-01
		p2 = -2.77777777770155933842e-03
		p3 = 6.61375632143793436117e-05
		p4 = -1.65339022054652515390e-06
		p5 = 4.13813679705723846039e-08
	)
	r := high - low
	square := float64(r * r)
	polynomial := p4 + float64(square*p5)
	polynomial = p3 + float64(square*polynomial)
	polynomial = p2 + float64(square*polynomial)
	polynomial = p1 + float64(square*polynomial)
	c := r - float64(square*polynomial)
	y := 1 - ((low - float64(r*c)/(2-c)) - high)
	return math.Ldexp(y, exponent)
}
