package apportioner

import (
	"cmp"
	"slices"

	"github.com/masticway/masticway"
)

const (
	// maxEqualShare is the equal share of a limit from which on connections are not divided by demand: a router with that many
	// connections seldom needs more.
	maxEqualShare = 16
	// minBase is the minimum base of a router, as of an equal share without this package.
	minBase = 2
	// limitQuarters is the number of parts into which a limit is divided. The demand part is at most one of them.
	limitQuarters = 4
	// ownerQuarters and backupQuarters are how many quarters of the demand part the owner and the backup lease. Their sum is four.
	ownerQuarters, backupQuarters = 3, 1
)

// IsDivided reports whether the connections to a server that takes limit connections are divided by demand among a number of member
// routers. This is the case if an equal share is less than maxEqualShare and the bases leave a demand part. It returns false if the
// limit or the number is zero, which means that there is none or that it is unknown.
func IsDivided(limit, members int) bool {
	return limit > 0 && members > 0 && limit/max(2, members) < maxEqualShare && DemandPart(limit, members) > 0
}

// Base returns how many connections to a server each of the member routers may have without a lease: an equal share of three quarters
// of the limit, at most half of the limit, but at least minBase.
func Base(limit, members int) int {
	return max(minBase, min(limit/2, limit*(limitQuarters-1)/limitQuarters/max(1, members)))
}

// DemandPart returns how many connections to a server are leased by demand: a quarter of the limit, or less if the bases of all
// members leave less. It is zero if they leave none.
func DemandPart(limit, members int) int {
	return max(0, min(limit/limitQuarters, limit-members*Base(limit, members)))
}

// maxLeased returns the maximum number of connections to a server that a router may have in addition to its base, so that it has at
// most half of the limit.
func maxLeased(limit, members int) int {
	return max(0, limit/2-Base(limit, members))
}

// Divide divides total connections among the routers that want some, in proportion to what they want. No router gets more than it
// wants. Proportional shares are rounded down; what this leaves goes to routers that would get none, then to the greatest remainders.
// So a router gets none only if its proportional share is less than one and others that want at least as much take what is left; it
// still has its base.
func Divide(total int, wanted map[masticway.Incarnation]int) map[masticway.Incarnation]int {
	shares := map[masticway.Incarnation]int{}
	var routers []masticway.Incarnation
	sum := 0
	for r, w := range wanted {
		if w > 0 {
			routers = append(routers, r)
			shares[r] = w
			sum += w
		}
	}
	if sum <= total {
		return shares
	}
	rest := total
	for _, r := range routers {
		shares[r] = total * wanted[r] / sum
		rest -= shares[r]
	}
	remainder := func(r masticway.Incarnation) int { return total * wanted[r] % sum }
	slices.SortFunc(routers, func(x, y masticway.Incarnation) int {
		if (shares[x] == 0) != (shares[y] == 0) {
			return cmp.Compare(min(1, shares[x]), min(1, shares[y]))
		}
		// The last criterion makes the order independent of the map's.
		return cmp.Or(cmp.Compare(remainder(y), remainder(x)), cmp.Compare(x, y))
	})
	// Each remainder is less than one connection, so rest is less than the number of routers.
	for _, r := range routers[:rest] {
		shares[r]++
	}
	return shares
}
