package diverter

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// consentMargin is how much longer a consent lasts than the diversion. Coordinators and routers that learn of a diversion from
// messages over a saturated link may take its end for later than it is, by the time that one message takes.
const consentMargin = 3 * time.Second

// releaseMemory is how long a coordinator ignores reports of a consent that was given back. It is longer than a router's report and
// the reply to it take.
const releaseMemory = 2 * messageTimeout

// Consent is a zone's consent to the diversion of another zone, as messages between routers contain it.
type Consent struct {
	// Zone is the zone that may be diverted, and Proposer the instance that has asked for the consent.
	Zone     string `cbor:"1,keyasint"`
	Proposer string `cbor:"2,keyasint"`
	// Left is how much longer the consent lasts.
	Left time.Duration `cbor:"3,keyasint"`
	// Number is the number of the proposer's newest proposal with the consent.
	Number int64 `cbor:"4,keyasint,omitempty"`
}

// consents holds the consents that a zone has given, all to one other zone. The coordinator of that zone and its backup may each
// have one.
type consents struct {
	zone string
	// given and released are by proposer.
	given    map[string]givenConsent
	released map[string]releasedConsent
}

// givenConsent is a consent to a proposer's proposals up to a number.
type givenConsent struct {
	number int64
	until  time.Time
}

// releasedConsent is a consent to a proposer's proposals up to a number that was given back.
type releasedConsent struct {
	number int64
	at     time.Time
}

// givenTo returns the zone to which consent is given; empty if there is none.
func (c *consents) givenTo(now time.Time) string {
	maps.DeleteFunc(c.given, func(_ string, g givenConsent) bool { return !now.Before(g.until) })
	if len(c.given) == 0 {
		return ""
	}
	return c.zone
}

// give gives or prolongs the consent to the proposal of a proposer with a number. It returns false if another zone has consent.
func (c *consents) give(now time.Time, zone, proposer string, number int64, span time.Duration) bool {
	if other := c.givenTo(now); other != "" && other != zone {
		return false
	}
	if c.given == nil {
		c.given = map[string]givenConsent{}
	}
	c.zone = zone
	g := c.given[proposer]
	g.number = max(g.number, number)
	if until := now.Add(min(span, maxSpan+consentMargin)); until.After(g.until) {
		g.until = until
	}
	c.given[proposer] = g
	return true
}

// adopt records a consent that a router of the zone has reported, so that a coordinator that has started or taken over knows the
// consents of its predecessor. It does nothing if the consent has recently been given back, which the router may not know yet.
func (c *consents) adopt(now time.Time, given Consent) {
	if given.Left <= 0 || c.isReleased(now, given.Proposer, given.Number) {
		return
	}
	c.give(now, given.Zone, given.Proposer, given.Number, given.Left)
}

// isReleased reports whether the consent to a proposer's proposal with a number has recently been given back.
func (c *consents) isReleased(now time.Time, proposer string, number int64) bool {
	r, ok := c.released[proposer]
	return ok && number <= r.number && now.Sub(r.at) < releaseMemory
}

// release gives the consent to the proposals of a proposer up to a number back. A consent to a later proposal stays: the message may
// have been under way for longer than that proposal.
func (c *consents) release(now time.Time, proposer string, number int64) {
	if c.given[proposer].number <= number {
		delete(c.given, proposer)
	}
	maps.DeleteFunc(c.released, func(_ string, r releasedConsent) bool { return now.Sub(r.at) >= releaseMemory })
	if c.released == nil {
		c.released = map[string]releasedConsent{}
	}
	c.released[proposer] = releasedConsent{number: max(number, c.released[proposer].number), at: now}
}

// export returns the consents as messages contain them, sorted by proposer.
func (c *consents) export(now time.Time) (all []Consent) {
	zone := c.givenTo(now)
	for proposer, g := range c.given {
		all = append(all, Consent{Zone: zone, Proposer: proposer, Left: g.until.Sub(now), Number: g.number})
	}
	slices.SortFunc(all, func(x, y Consent) int { return strings.Compare(x.Proposer, y.Proposer) })
	return all
}
