package loader

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
)

// plannedRequest is a request of the plan. For a scenario, the plan depends only on the seed.
type plannedRequest struct {
	// arrival is the time from the start of the load at which the request is sent.
	arrival time.Duration
	traffic Traffic
	// key is the idempotency key.
	key string
	// region is the index of the client's region.
	region   int
	messages []emulator.Message
	body     string
	// tokens is the length of a model's whole answer in tokens.
	tokens int
	// cost is what the whole answer costs.
	cost masticway.Amount
	// nonRepeatable is set if the contract forbids running the request twice.
	nonRepeatable bool
}

// words holds the words that prompts are made of.
const words = "chest waist sleeve inseam lapel vent cuff drape canvas dart seam hem yoke collar button lining "

// plan draws all requests of a scenario. It returns them in the order of their arrivals.
func plan(s Scenario, catalog masticway.Catalog, contracts []masticway.Contract) []plannedRequest {
	contractOf := map[string]masticway.Contract{}
	for _, c := range contracts {
		contractOf[c.Workspace] = c
	}
	var all []plannedRequest
	for i, t := range s.Traffic {
		random := rand.New(rand.NewPCG(uint64(s.Seed), uint64(i)+1))
		at := time.Duration(0)
		for n := 0; ; n++ {
			at += time.Duration(random.ExpFloat64() / t.Rate * float64(time.Second))
			if at >= s.Duration.Std() {
				break
			}
			p := planRequest(s, catalog, t, random, at, fmt.Sprintf("%s-%d-%d", t.Name, s.Seed, n))
			service, _ := contractOf[t.Workspace].Service(t.Service)
			p.nonRepeatable = service.IsNonRepeatable(http.MethodPost, t.Path)
			all = append(all, p)
		}
	}
	slices.SortStableFunc(all, func(a, b plannedRequest) int { return int(a.arrival - b.arrival) })
	return all
}

// planRequest draws one request of a stream of traffic. at is its arrival, as the time from the start of the load.
func planRequest(s Scenario, catalog masticway.Catalog, t Traffic, random *rand.Rand, at time.Duration, key string) plannedRequest {
	p := plannedRequest{arrival: at, traffic: t, key: key, region: random.IntN(len(s.Regions))}
	if t.Service != "" {
		service, _ := catalog.Service(t.Service)
		p.body = fmt.Sprintf("%s%s %s", emulator.OwnerPrefix, t.Workspace, key)
		p.cost = service.Price
		return p
	}
	model, _ := catalog.Model(t.Model)
	// The answer has from half to one and a half times OutputTokens, unless MaxTokens cuts it short.
	uncutTokens := max(1, t.OutputTokens/2+random.IntN(t.OutputTokens+1))
	group := random.IntN(t.Groups)
	shared := fmt.Sprintf("%s%s group %s %d ", emulator.OwnerPrefix, t.Workspace, t.Name, group)
	shared += fillerText(t.SharedBytes-len(shared), uint64(group))
	own := fmt.Sprintf("%s %s [tokens=%d]", key, fillerText(t.PromptBytes-t.SharedBytes, random.Uint64()), uncutTokens)
	p.messages = []emulator.Message{{Role: "system", Content: shared}, {Role: "user", Content: own}}
	p.tokens = uncutTokens
	if t.MaxTokens > 0 {
		p.tokens = min(uncutTokens, t.MaxTokens)
	}
	p.cost = model.Cost(emulator.CountTokens(p.messages), p.tokens)
	return p
}

// fillerText returns text of a length in bytes. The text depends only on the seed and the length.
func fillerText(bytes int, seed uint64) string {
	if bytes <= 0 {
		return ""
	}
	random := rand.New(rand.NewPCG(seed, 7))
	list := strings.Fields(words)
	var b strings.Builder
	for b.Len() < bytes {
		b.WriteString(list[random.IntN(len(list))])
		b.WriteByte(' ')
	}
	return b.String()[:bytes]
}

// chatBody returns the body of a request to a model.
func (p plannedRequest) chatBody() []byte {
	body, err := json.Marshal(struct {
		Model     string             `json:"model"`
		Messages  []emulator.Message `json:"messages"`
		Stream    bool               `json:"stream"`
		MaxTokens int                `json:"max_tokens,omitempty"`
	}{p.traffic.Model, p.messages, p.traffic.Stream, p.traffic.MaxTokens})
	if err != nil {
		// Strings, numbers and booleans can always be encoded.
		panic(err)
	}
	return body
}
