package masticway

import (
	"path"
	"slices"
)

// Class distinguishes requests for which a person waits from batch work.
type Class string

// The classes of a request. Queues prefer interactive requests, but also serve batch requests while interactive ones keep
// arriving.
const (
	ClassInteractive Class = "interactive"
	ClassBatch       Class = "batch"
)

// ModelTerms specifies how one workspace may use one model.
type ModelTerms struct {
	Name string `json:"name"`
	// Version pins the model version; empty allows any.
	Version string `json:"version,omitempty"`
	// MinOutput is the minimum number of output tokens that makes a request worth starting if the caller specifies no maximum.
	MinOutput int `json:"min_output,omitempty"`
	// MaxOutput is the maximum number of output tokens of one request.
	MaxOutput int `json:"max_output,omitempty"`
}

// CallPattern matches service calls by method and path. Path is a pattern for path.Match; the method "*" matches any method.
type CallPattern struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// ServiceTerms specifies how one workspace may use one plain service.
type ServiceTerms struct {
	Name string `json:"name"`
	// NonRepeatable matches the calls that must not run more than once.
	NonRepeatable []CallPattern `json:"non_repeatable,omitempty"`
}

// Contract specifies what an operator allows one workspace.
type Contract struct {
	Workspace string `json:"workspace"`
	// Budget is the name of the prepaid budget that pays for the requests.
	Budget string `json:"budget"`
	// Priority is the priority of the requests in queues and at the engines. Higher values are served first.
	Priority int `json:"priority,omitempty"`
	// Class is the class of requests that do not name one.
	Class    Class          `json:"class,omitempty"`
	Models   []ModelTerms   `json:"models,omitempty"`
	Services []ServiceTerms `json:"services,omitempty"`
	// RequestsPerSecond is the maximum average rate of the workspace's requests; zero means no limit. It is the rate at which a
	// token bucket fills. The size of the bucket is the largest of Burst, RequestsPerSecond and one.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	Burst             int     `json:"burst,omitempty"`
	// Concurrency is the maximum number of open requests of the workspace in a region; zero means no limit.
	Concurrency int `json:"concurrency,omitempty"`
	// RequireIdempotencyKey is set if requests without an Idempotency-Key are refused.
	RequireIdempotencyKey bool `json:"require_idempotency_key,omitempty"`
	// KeyHashes are the hexadecimal SHA-256 hashes of the caller keys.
	KeyHashes []string `json:"key_hashes,omitempty"`
	// Horizon is the period of forecast demand that one draw covers; zero means a default. A draw moves money from the budget to
	// the router that keeps the budget's money in a region.
	Horizon Duration `json:"horizon,omitempty"`
	// HoldWait is the maximum time for which a request waits if too little money is available. Meanwhile other requests may end
	// and release money that was reserved for them. The request is refused if it is still too little. Zero means a default.
	HoldWait Duration `json:"hold_wait,omitempty"`
}

// WithKeyHashes returns a copy of the contract with KeyHashes replaced.
func (c Contract) WithKeyHashes(hashes ...string) Contract {
	c.KeyHashes = slices.Clone(hashes)
	return c
}

// Model returns the terms for a model, and whether the contract allows it.
func (c Contract) Model(name string) (ModelTerms, bool) {
	for _, m := range c.Models {
		if m.Name == name {
			return m, true
		}
	}
	return ModelTerms{}, false
}

// Service returns the terms for a plain service, and whether the contract allows it.
func (c Contract) Service(name string) (ServiceTerms, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return ServiceTerms{}, false
}

// IsNonRepeatable reports whether the call must not run more than once.
func (s ServiceTerms) IsNonRepeatable(method, callPath string) bool {
	for _, p := range s.NonRepeatable {
		matched, err := path.Match(p.Path, callPath)
		if err == nil && matched && (p.Method == "*" || p.Method == method) {
			return true
		}
	}
	return false
}

// Model is one model that the fleet serves, with its price.
type Model struct {
	Name string `json:"name"`
	// PromptWeight and CompletionWeight are the prices of one prompt token and of one completion token.
	PromptWeight     Amount `json:"prompt_weight"`
	CompletionWeight Amount `json:"completion_weight"`
	// Version is the model version that upstreams should run.
	Version string `json:"version,omitempty"`
}

// Cost returns the price of a prompt and its completion.
func (m Model) Cost(prompt, completion int) Amount {
	return Amount(prompt)*m.PromptWeight + Amount(completion)*m.CompletionWeight
}

// Service is one plain service behind the fleet, with the price of a call.
type Service struct {
	Name  string `json:"name"`
	Price Amount `json:"price"`
}

// Catalog lists what the fleet serves and what it costs.
type Catalog struct {
	Models   []Model   `json:"models,omitempty"`
	Services []Service `json:"services,omitempty"`
}

// Model returns the named model, and whether it exists.
func (c Catalog) Model(name string) (Model, bool) {
	for _, m := range c.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service returns the named service, and whether it exists.
func (c Catalog) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Revision is the number of an accepted change of the configuration, starting at one.
type Revision int64

// Change is one accepted change: a contract put or removed, or a new catalog.
type Change struct {
	Revision Revision  `json:"revision"`
	ID       string    `json:"id"`
	Operator string    `json:"operator,omitempty"`
	Contract *Contract `json:"contract,omitempty"`
	// Removed is the workspace whose contract is removed.
	Removed string   `json:"removed,omitempty"`
	Catalog *Catalog `json:"catalog,omitempty"`
}
