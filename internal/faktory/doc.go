// Package faktory will be the second front. It holds nothing yet.
package faktory
