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

// planned is one request of the plan; the plan depends on the seed alone.
type planned struct {
	at       time.Duration
	traffic  Traffic
	key      string
	region   int
	messages []emulator.Message
	body     string
	// tokens is the length that the whole answer must have.
	tokens int
	// cost is the true price.
	cost masticway.Amount
	// nonRepeatable tells that the contract forbids running it twice.
	nonRepeatable bool
}

const words = "chest waist sleeve inseam lapel vent cuff drape canvas dart seam hem yoke collar button lining "

// plan draws all arrivals of a scenario.
func plan(s Scenario, catalog masticway.Catalog, contracts []masticway.Contract) []planned {
	forbidden := map[string]masticway.Contract{}
	for _, c := range contracts {
		forbidden[c.Workspace] = c
	}
	var all []planned
	for i, t := range s.Traffic {
		random := rand.New(rand.NewPCG(uint64(s.Seed), uint64(i)+1))
		at := time.Duration(0)
		for n := 0; ; n++ {
			at += time.Duration(random.ExpFloat64() / t.Rate * float64(time.Second))
			if at >= s.Duration.Std() {
				break
			}
			p := plannedRequest(s, catalog, t, random, at, fmt.Sprintf("%s-%d-%d", t.Name, s.Seed, n))
			terms, _ := forbidden[t.Workspace].Service(t.Service)
			p.nonRepeatable = terms.IsNonRepeatable(http.MethodPost, t.Path)
			all = append(all, p)
		}
	}
	slices.SortStableFunc(all, func(a, b planned) int { return int(a.at - b.at) })
	return all
}

func plannedRequest(s Scenario, catalog masticway.Catalog, t Traffic, random *rand.Rand, at time.Duration, key string) planned {
	p := planned{at: at, traffic: t, key: key, region: random.IntN(len(s.Regions))}
	if t.Service != "" {
		service, _ := catalog.Service(t.Service)
		p.body = fmt.Sprintf("%s%s %s", emulator.OwnerPrefix, t.Workspace, key)
		p.cost = service.Price
		return p
	}
	model, _ := catalog.Model(t.Model)
	// Answers are from half to one and a half times the named length.
	natural := max(1, t.OutputTokens/2+random.IntN(t.OutputTokens+1))
	group := random.IntN(t.Groups)
	shared := fmt.Sprintf("%s%s group %s %d ", emulator.OwnerPrefix, t.Workspace, t.Name, group)
	shared += text(t.SharedBytes-len(shared), uint64(group))
	own := fmt.Sprintf("%s %s [tokens=%d]", key, text(t.PromptBytes-t.SharedBytes, random.Uint64()), natural)
	p.messages = []emulator.Message{{Role: "system", Content: shared}, {Role: "user", Content: own}}
	p.tokens = natural
	if t.MaxTokens > 0 {
		p.tokens = min(natural, t.MaxTokens)
	}
	p.cost = model.Cost(emulator.CountTokens(p.messages), p.tokens)
	return p
}

// text returns so many bytes of words, the same for the same seed.
func text(bytes int, seed uint64) string {
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

// chatBody is what the client sends for a model request.
func (p planned) chatBody() []byte {
	body, err := json.Marshal(struct {
		Model     string             `json:"model"`
		Messages  []emulator.Message `json:"messages"`
		Stream    bool               `json:"stream"`
		MaxTokens int                `json:"max_tokens,omitempty"`
	}{p.traffic.Model, p.messages, p.traffic.Stream, p.traffic.MaxTokens})
	if err != nil {
		// The body holds only strings and numbers.
		panic(err)
	}
	return body
}
