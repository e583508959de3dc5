package rotator

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway/messenger"
)

// pathLease is the path of the requests for leases.
const pathLease = "/peer/lease"

// LeaseRequest asks a voter for a lease for an instance, or returns the instance's lease.
type LeaseRequest struct {
	Instance string `cbor:"1,keyasint"`
	// Duration is the requested duration of the lease. If it is zero, the lease is returned. A request without Duration and Election
	// changes nothing: the time until its reply shows how long packets wait for the link.
	Duration time.Duration `cbor:"2,keyasint"`
	// Election identifies the election for which the lease is requested. A request that returns a lease only ends the lease of the
	// same election, because it may arrive after the request of a later one.
	Election uint64 `cbor:"3,keyasint,omitempty"`
}

// LeaseReply is a voter's reply to a LeaseRequest.
type LeaseReply struct {
	// Granted is set if the voter granted the lease or, if the request returns a lease, accepted that.
	Granted bool `cbor:"1,keyasint"`
	// Remaining is the number of leases that the voter can still grant.
	Remaining int `cbor:"2,keyasint,omitempty"`
	// Overloaded is set if the voter did not grant the lease because it is overloaded itself.
	Overloaded bool `cbor:"3,keyasint,omitempty"`
}

// Voters sends lease requests to the other routers that vote on leases.
type Voters interface {
	// Ask sends a request to the voter at an address.
	Ask(ctx context.Context, address string, req LeaseRequest) (LeaseReply, error)
}

// Client sends requests over connections between routers. It implements Voters.
type Client struct {
	messages *messenger.Client
}

// NewClient returns a client that uses a messenger client.
func NewClient(m *messenger.Client) *Client { return &Client{messages: m} }

// Ask sends a request to the voter at an address.
func (c *Client) Ask(ctx context.Context, address string, req LeaseRequest) (LeaseReply, error) {
	return messenger.Call[LeaseReply](ctx, c.messages, address, pathLease, req)
}

// Serve registers the handler for the lease requests of other routers.
func (r *Rotator) Serve(mux *http.ServeMux) {
	messenger.Handle(mux, pathLease, func(_ context.Context, req LeaseRequest) LeaseReply { return r.Vote(req) })
}

// Vote decides on a lease request of this or another router as a voter. It grants the lease or, if the request returns a lease,
// ends it. It grants none if other routers hold all leases. It also grants none if another router asks for a lease while this
// router is overloaded, because the other router's callers would come to this one.
func (r *Rotator) Vote(req LeaseRequest) LeaseReply {
	all := r.zoneRouters()
	zoneVoters := selectVoters(r.settings.Zone, all)
	rank := slices.IndexFunc(zoneVoters, func(n Neighbour) bool { return n.Instance == r.settings.Instance })
	if rank < 0 {
		// The other router knows fewer routers of the zone.
		rank = len(zoneVoters)
	}
	maxLeases := voterLeases(len(all), len(zoneVoters), rank)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case req.Duration <= 0 && req.Election == 0:
		return LeaseReply{}
	case req.Duration <= 0:
		r.granted.revoke(req.Instance, req.Election)
		return LeaseReply{Granted: true}
	case r.load.overloaded && req.Instance != r.settings.Instance:
		return LeaseReply{Overloaded: true}
	}
	granted := r.granted.grant(r.deps.Clock.Now(), req, maxLeases)
	return LeaseReply{Granted: granted, Remaining: maxLeases - len(r.granted)}
}

// zoneRouters returns the routers of the availability zone, including this one.
func (r *Rotator) zoneRouters() []Neighbour {
	return append(r.deps.Neighbours(), Neighbour{Instance: r.settings.Instance})
}

// election is the result of asking the voters for a lease.
type election struct {
	id    uint64
	began time.Time
	// span is the planned duration of the absence.
	span time.Duration
	// routers is the number of routers in the zone, and voters the number of them that vote.
	routers, voters int
	// votes holds the voters' replies.
	votes []vote
}

// vote is the reply of one voter. err is set if there was none.
type vote struct {
	voter Neighbour
	reply LeaseReply
	err   error
}

// majority returns how many voters must grant a lease.
func (e election) majority() int { return e.voters/2 + 1 }

// granted returns the votes of the voters that granted the lease.
func (e election) granted() []vote {
	return slices.DeleteFunc(slices.Clone(e.votes), func(v vote) bool { return !v.reply.Granted })
}

// isWon reports whether a majority of the voters granted the lease.
func (e election) isWon() bool { return len(e.granted()) >= e.majority() }

// unneeded returns the voters that may have granted a lease which the router does not need: all of them if the election is lost.
// The winner keeps the leases of the voters that can still grant most, because other routers need leases from a majority as well.
func (e election) unneeded() []Neighbour {
	granted := e.granted()
	slices.SortStableFunc(granted, func(x, y vote) int { return cmp.Compare(y.reply.Remaining, x.reply.Remaining) })
	kept := 0
	if e.isWon() {
		kept = e.majority()
	}
	var voters []Neighbour
	for _, v := range granted[kept:] {
		voters = append(voters, v.voter)
	}
	for _, v := range e.votes {
		if v.err != nil {
			voters = append(voters, v.voter)
		}
	}
	return voters
}

// fields returns the fields of a log line about the election: its result, and how each voter has voted.
func (e election) fields() logrus.Fields {
	names := map[string][]string{}
	for _, v := range e.votes {
		kind := "refused_by"
		switch {
		case v.err != nil:
			kind = "silent"
		case v.reply.Granted:
			kind = "granted_by"
		case v.reply.Overloaded:
			kind = "overloaded"
		}
		names[kind] = append(names[kind], v.voter.Instance)
	}
	fields := logrus.Fields{
		"event": "rotation", "routers": e.routers, "voters": e.voters, "votes": len(e.granted()), "for_ms": e.span.Milliseconds(),
	}
	for kind, n := range names {
		slices.Sort(n)
		fields[kind] = strings.Join(n, ",")
	}
	return fields
}

// elect asks the voters for a lease that allows an absence of span. It may block up to leaseTimeout.
func (r *Rotator) elect(ctx context.Context, began time.Time, span time.Duration) election {
	all := r.zoneRouters()
	zoneVoters := selectVoters(r.settings.Zone, all)
	e := election{id: rand.Uint64(), began: began, span: span, routers: len(all), voters: len(zoneVoters)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(leaseTimeout, cancel)
	defer timer.Stop()
	// The lease lasts leaseTimeout longer than the absence, so it does not expire earlier, whenever the request arrives.
	req := LeaseRequest{Instance: r.settings.Instance, Duration: span + leaseTimeout, Election: e.id}
	for v := range r.askVoters(ctx, zoneVoters, req) {
		e.votes = append(e.votes, v)
		if v.reply.Granted && len(e.granted()) == e.majority() {
			// The other votes no longer matter, but a winner that knows them can choose whose leases it keeps.
			timer.Reset(surplusTimeout)
		}
	}
	return e
}

// askVoters sends a request to all voters. The channel delivers one vote for each, at the latest when the context ends, and is
// closed after the last one.
func (r *Rotator) askVoters(ctx context.Context, voters []Neighbour, req LeaseRequest) <-chan vote {
	votes := make(chan vote, len(voters))
	var wg sync.WaitGroup
	for _, v := range voters {
		wg.Go(func() {
			reply, err := r.askVoter(ctx, v, req)
			votes <- vote{voter: v, reply: reply, err: err}
		})
	}
	r.wg.Go(func() {
		wg.Wait()
		close(votes)
	})
	return votes
}

// returnLeases starts a goroutine that gives leases of this router back to the voters. A voter that does not receive the request
// lets the lease expire.
func (r *Rotator) returnLeases(ctx context.Context, voters []Neighbour, id uint64) {
	r.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
		defer cancel()
		for range r.askVoters(ctx, voters, LeaseRequest{Instance: r.settings.Instance, Election: id}) {
		}
	})
}

// askVoter sends a request to one voter, which may be this router.
func (r *Rotator) askVoter(ctx context.Context, voter Neighbour, req LeaseRequest) (LeaseReply, error) {
	if voter.Instance == r.settings.Instance {
		return r.Vote(req), nil
	}
	return r.deps.Voters.Ask(ctx, voter.Address, req)
}
