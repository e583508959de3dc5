package treasurer

import "math"

const (
	// maxAmount is the largest amount of tokens that counts. Budgets above it count as that much, so that the sum of a workspace's
	// amounts cannot overflow.
	maxAmount = 1 << 52
	// maxNeed is the most that one request or loan counts for. The needs of a quarter of a million requests can be added.
	maxNeed = 1 << 45
	// maxAllocated bounds the sum of a workspace's grants, so that it can be added to other amounts.
	maxAllocated = 1 << 60
	// overflow is what the sum of two positive amounts lost when it overflowed in earlier builds, half of the range of an amount.
	overflow = math.MinInt64
)

// boundedAmount returns an amount, but at least zero and at most maxAmount.
func boundedAmount(n int64) int64 { return max(0, min(n, maxAmount)) }

// boundedNeed returns the need of a request or loan, but at least zero and at most maxNeed.
func boundedNeed(n int64) int64 { return max(0, min(n, maxNeed)) }

// roundAmount returns a computed amount as a whole number, but at least zero and at most maxAmount. Other conversions of large numbers
// differ between processors.
func roundAmount(n float64) int64 {
	if !(n > 0) {
		return 0
	}
	return int64(min(n, maxAmount))
}

// repairedSpend returns the most that an amount of spent tokens in a row can have been before sums of needs overflowed in an earlier
// build. One such sum made the amount too low by overflow, less at most what the request's prompt has. Any other negative amount does
// not tell what was spent, so that all of the budget counts.
func repairedSpend(n int64) int64 {
	switch {
	case n >= 0:
		return boundedAmount(n)
	case n < overflow/2:
		return boundedAmount(n - overflow)
	}
	return maxAmount
}
