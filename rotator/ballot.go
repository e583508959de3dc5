package rotator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/masticway/masticway/messenger"
)

// pathLease is the path of the calls about leases.
const pathLease = "/peer/lease"

// LeaseRequest asks a voter for a lease, or gives one back.
type LeaseRequest struct {
	Instance string `cbor:"1,keyasint"`
	// Duration is how long it is wanted; zero gives it back.
	Duration time.Duration `cbor:"2,keyasint"`
}

type leaseReply struct {
	Granted bool `cbor:"1,keyasint"`
}

// Voters are the other routers that vote on leases.
type Voters interface {
	// Ask asks the one at an address, and returns whether it said yes.
	Ask(ctx context.Context, address string, req LeaseRequest) (bool, error)
}

// Client asks over connections between routers; it implements Voters.
type Client struct {
	messages *messenger.Client
}

// NewClient returns a client that sends its calls with another.
func NewClient(m *messenger.Client) *Client { return &Client{messages: m} }

// Ask asks the voter at an address.
func (c *Client) Ask(ctx context.Context, address string, req LeaseRequest) (bool, error) {
	reply, err := messenger.Call[leaseReply](ctx, c.messages, address, pathLease, req)
	return reply.Granted, err
}

// Serve answers other routers that ask for leases.
func (r *Rotator) Serve(mux *http.ServeMux) {
	messenger.Handle(mux, pathLease, func(_ context.Context, req LeaseRequest) leaseReply {
		return leaseReply{Granted: r.Vote(req)}
	})
}

// Vote gives another router or this one a lease, or takes it back; false when all leases are taken, or when this router is
// overloaded itself: the other one's callers would come to it.
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
	return r.granted.grant(r.parts.Clock.Now(), req.Instance, req.Duration, leasesPerVoter(len(all), min(maxVoters, len(all))))
}

// zoneRouters lists the routers of the availability zone, this one included.
func (r *Rotator) zoneRouters() []Neighbour {
	return append(r.parts.Neighbours(), Neighbour{Instance: r.settings.Instance})
}

// election is what asking for a lease brought.
type election struct {
	began time.Time
	// span is how long the lease is for.
	span                   time.Duration
	routers, voters, votes int
}

// isWon tells that most voters gave the lease.
func (e election) isWon() bool { return e.votes > e.voters/2 }

// elect asks the voters for a lease.
func (r *Rotator) elect(ctx context.Context, began time.Time, span time.Duration) election {
	all := r.zoneRouters()
	zoneVoters := selectVoters(r.settings.Zone, all)
	// A vote outlasts the absence for which it is asked, whenever the question arrives.
	votes := r.collectVotes(ctx, zoneVoters, LeaseRequest{Instance: r.settings.Instance, Duration: span + leaseTimeout})
	return election{began: began, span: span, routers: len(all), voters: len(zoneVoters), votes: votes}
}

// collectVotes asks voters and returns how many of them said yes, most of them at least or all that did in time.
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
			// Whoever has not answered yet may give its vote all the same; it lapses.
			break
		}
	}
	cancel()
	wg.Wait()
	return n
}

// askVoter asks one voter, which may be this router.
func (r *Rotator) askVoter(ctx context.Context, voter Neighbour, req LeaseRequest) bool {
	if voter.Instance == r.settings.Instance {
		return r.Vote(req)
	}
	granted, err := r.parts.Voters.Ask(ctx, voter.Address, req)
	return err == nil && granted
}
