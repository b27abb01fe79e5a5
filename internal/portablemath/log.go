package portablemath

import "math"

// Log returns the natural logarithm of x. Log(NaN) is NaN, Log(+Inf) is +Inf, Log(0) is -Inf, and the
// logarithm of a negative number is NaN.
func Log(x float64) float64 {
	switch {
	case math.IsNaN(x) || math.IsInf(x, 1):
		return x
	case x < 0:
		return math.NaN()
	case x == 0:
		return math.Inf(-1)
	}
	fraction, exponent := math.Frexp(x)
	if fraction < math.Sqrt2/2 {
		fraction = float64(fraction * 2)
		exponent--
	}
	return logReduced(fraction-1, float64(exponent))
}

// logReduced returns ln(1+f) + exponent*ln(2), where 1+f is from sqrt(2)/2 to sqrt(2).
func logReduced(f, exponent float64) float64 {
	// The coefficients of the polynomial in s*s, with s = f/(2+f), that approximates (ln(1+f) - 2s) / s.
	const (
		l1 = 6.666666666666735130e-01
		l2 = 3.999999999940941908e-01
		l3 = 2.857142874366239149e-01
		l4 = 2.222219843214978396e-01
		l5 = 1.818357216161805012e-01
		l6 = 1.531383769920937332e-01
		l7 = 1.479819860511658591e-01
	)
	s := f / (2 + f)
	square := float64(s * s)
	fourth := float64(square * square)
	odd := l5 + float64(fourth*l7)
	odd = l3 + float64(fourth*odd)
	odd = float64(square * (l1 + float64(fourth*odd)))
	even := l4 + float64(fourth*l6)
	even = float64(fourth * (l2 + float64(fourth*even)))
	halfSquare := float64(float64(0.5*f) * f)
	tail := float64(s*(halfSquare+(odd+even))) + float64(exponent*ln2Low)
	return float64(exponent*ln2High) - ((halfSquare - tail) - f)
}
