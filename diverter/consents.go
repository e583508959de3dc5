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
}

// consents holds the consents that a zone has given, all to one other zone. The coordinator of that zone and its backup may each
// have one.
type consents struct {
	zone string
	// expiry and releasedAt are by proposer.
	expiry, releasedAt map[string]time.Time
}

// givenTo returns the zone to which consent is given; empty if there is none.
func (c *consents) givenTo(now time.Time) string {
	maps.DeleteFunc(c.expiry, func(_ string, until time.Time) bool { return !now.Before(until) })
	if len(c.expiry) == 0 {
		return ""
	}
	return c.zone
}

// give gives or prolongs a proposer's consent. It returns false if another zone has consent.
func (c *consents) give(now time.Time, zone, proposer string, span time.Duration) bool {
	if other := c.givenTo(now); other != "" && other != zone {
		return false
	}
	if c.expiry == nil {
		c.expiry = map[string]time.Time{}
	}
	c.zone = zone
	if until := now.Add(min(span, maxSpan+consentMargin)); until.After(c.expiry[proposer]) {
		c.expiry[proposer] = until
	}
	return true
}

// adopt records a consent that a router of the zone has reported, so that a coordinator that has started or taken over knows the
// consents of its predecessor. It does nothing if the consent has recently been given back, which the router may not know yet.
func (c *consents) adopt(now time.Time, given Consent) {
	if at, ok := c.releasedAt[given.Proposer]; given.Left <= 0 || ok && now.Sub(at) < releaseMemory {
		return
	}
	c.give(now, given.Zone, given.Proposer, given.Left)
}

// release gives a proposer's consent back.
func (c *consents) release(now time.Time, proposer string) {
	delete(c.expiry, proposer)
	maps.DeleteFunc(c.releasedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= releaseMemory })
	if c.releasedAt == nil {
		c.releasedAt = map[string]time.Time{}
	}
	c.releasedAt[proposer] = now
}

// export returns the consents as messages contain them, sorted by proposer.
func (c *consents) export(now time.Time) (all []Consent) {
	zone := c.givenTo(now)
	for proposer, until := range c.expiry {
		all = append(all, Consent{Zone: zone, Proposer: proposer, Left: until.Sub(now)})
	}
	slices.SortFunc(all, func(x, y Consent) int { return strings.Compare(x.Proposer, y.Proposer) })
	return all
}
