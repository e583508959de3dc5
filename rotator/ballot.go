package rotator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/masticway/masticway/messenger"
)

// pathLease is the path of the requests for leases.
const pathLease = "/peer/lease"

// LeaseRequest asks a voter for a lease for an instance, or returns the instance's lease.
type LeaseRequest struct {
	Instance string `cbor:"1,keyasint"`
	// Duration is the requested duration of the lease. If it is zero, the lease is returned.
	Duration time.Duration `cbor:"2,keyasint"`
}

type leaseReply struct {
	Granted bool `cbor:"1,keyasint"`
}

// Voters sends lease requests to the other routers that vote on leases.
type Voters interface {
	// Ask sends a request to the voter at an address. It reports whether the voter granted the lease or, if the request returns a
	// lease, accepted that.
	Ask(ctx context.Context, address string, req LeaseRequest) (bool, error)
}

// Client sends requests over connections between routers. It implements Voters.
type Client struct {
	messages *messenger.Client
}

// NewClient returns a client that uses a messenger client.
func NewClient(m *messenger.Client) *Client { return &Client{messages: m} }

// Ask sends a request to the voter at an address.
func (c *Client) Ask(ctx context.Context, address string, req LeaseRequest) (bool, error) {
	reply, err := messenger.Call[leaseReply](ctx, c.messages, address, pathLease, req)
	return reply.Granted, err
}

// Serve registers the handler for the lease requests of other routers.
func (r *Rotator) Serve(mux *http.ServeMux) {
	messenger.Handle(mux, pathLease, func(_ context.Context, req LeaseRequest) leaseReply {
		return leaseReply{Granted: r.Vote(req)}
	})
}

// Vote decides on a lease request of this or another router as a voter. It grants the lease or, if the request returns a lease,
// ends it. It returns false if other routers hold all leases. It also returns false if another router asks for a lease while this
// router is overloaded, because the other router's callers would come to this one.
func (r *Rotator) Vote(req LeaseRequest) bool {
	all := r.zoneRouters()
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.Duration <= 0 {
		r.granted.revoke(req.Instance)
		return true
	}
	if r.load.overloaded && req.Instance != r.settings.Instance {
		return false
	}
	return r.granted.grant(r.deps.Clock.Now(), req.Instance, req.Duration, leasesPerVoter(len(all), min(maxVoters, len(all))))
}

// zoneRouters returns the routers of the availability zone, including this one.
func (r *Rotator) zoneRouters() []Neighbour {
	return append(r.deps.Neighbours(), Neighbour{Instance: r.settings.Instance})
}

// election is the result of asking the voters for a lease. routers is the number of routers in the zone, voters the number of
// voters, and votes the number of voters that granted the lease. began is when the election began.
type election struct {
	began time.Time
	// span is the planned duration of the absence.
	span                   time.Duration
	routers, voters, votes int
}

// isWon reports whether a majority of the voters granted the lease.
func (e election) isWon() bool { return e.votes > e.voters/2 }

// elect asks the voters for a lease that allows an absence of span. It may block up to leaseTimeout.
func (r *Rotator) elect(ctx context.Context, began time.Time, span time.Duration) election {
	all := r.zoneRouters()
	zoneVoters := selectVoters(r.settings.Zone, all)
	// The lease lasts leaseTimeout longer than the absence, so it does not expire earlier, whenever the request arrives.
	votes := r.collectVotes(ctx, zoneVoters, LeaseRequest{Instance: r.settings.Instance, Duration: span + leaseTimeout})
	return election{began: began, span: span, routers: len(all), voters: len(zoneVoters), votes: votes}
}

// collectVotes sends a request to the voters and returns how many accepted it. If the request asks for a lease, collectVotes
// returns as soon as a majority has granted it. Otherwise it returns when all voters have replied, leaseTimeout has passed or the
// context has ended.
func (r *Rotator) collectVotes(ctx context.Context, voters []Neighbour, req LeaseRequest) int {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	granted := make(chan bool, len(voters))
	var wg sync.WaitGroup
	for _, v := range voters {
		wg.Go(func() { granted <- r.askVoter(ctx, v, req) })
	}
	n := 0
	for range voters {
		if <-granted {
			n++
		}
		if n > len(voters)/2 && req.Duration > 0 {
			// The canceled requests may still reach voters, which then grant leases that expire.
			break
		}
	}
	cancel()
	wg.Wait()
	return n
}

// askVoter sends a request to one voter, which may be this router.
func (r *Rotator) askVoter(ctx context.Context, voter Neighbour, req LeaseRequest) bool {
	if voter.Instance == r.settings.Instance {
		return r.Vote(req)
	}
	granted, err := r.deps.Voters.Ask(ctx, voter.Address, req)
	return err == nil && granted
}
