package masticway

import (
	"context"
	"time"
)

// Row is one versioned row of the table; version zero stands for an absent row.
type Row struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// Condition demands that a row still has a version when a transaction commits.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes a row; a nil value removes it.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transaction is a set of writes that commits as one if every condition holds.
type Transaction struct {
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions"`
	Puts       []Put       `json:"puts"`
}

// Table is the platform's transactional table service.
//
// Get returns a row with version zero when the key is absent. Commit fails with
// ConflictError when a condition does not hold, UnavailableError when nothing
// was written for certain, and OutcomeUnknownError when it may have been.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	Scan(ctx context.Context, prefix string) ([]Row, error)
	Commit(ctx context.Context, tx Transaction) error
}

// ObjectStore is the platform's object store; Put overwrites and is idempotent.
type ObjectStore interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	List(ctx context.Context, prefix string) ([]string, error)
}

// Role is what a process of the fleet does.
type Role string

// The roles that the instance list names.
const (
	RoleRouter  Role = "router"
	RoleSidecar Role = "sidecar"
)

// InstanceState is the platform's word on an instance.
type InstanceState string

// The states of an instance; ended is the platform's assurance that its processes are gone.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
	InstanceEnded   InstanceState = "ended"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	ID      string        `json:"id"`
	Role    Role          `json:"role"`
	Address string        `json:"address"`
	Region  string        `json:"region"`
	Zone    string        `json:"zone"`
	State   InstanceState `json:"state"`
	// Models and Services say what the upstream beside a sidecar offers.
	Models   []string `json:"models,omitempty"`
	Services []string `json:"services,omitempty"`
}

// InstanceReading is the instance list at one version.
type InstanceReading struct {
	Version   string     `json:"version"`
	Instances []Instance `json:"instances"`
	// Unchanged tells that the list still has the version that the reader knows; then it is left out.
	Unchanged bool `json:"same"`
}

// InstanceList is the platform's lagging list of instances.
type InstanceList interface {
	// Instances reads the list, unless it still has the known version.
	Instances(ctx context.Context, known string) (InstanceReading, error)
}

// Link is an authenticated, ordered message channel to one peer process.
type Link[M any] interface {
	// Send queues a message, and fails when the link is down or its queue is full.
	Send(m M) error
	// Peer names the instance and incarnation at the other end.
	Peer() Peer
	// Close ends the link.
	Close()
}

// Peer identifies a process at the far end of a link.
type Peer struct {
	Instance    string      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Role        Role        `cbor:"3,keyasint"`
}

// Usage counts the tokens of one run.
type Usage struct {
	Prompt     int `json:"prompt_tokens" cbor:"1,keyasint"`
	Completion int `json:"completion_tokens" cbor:"2,keyasint"`
}

// Chunk is one piece of an answer.
type Chunk struct {
	Index  int    `cbor:"1,keyasint"`
	Text   string `cbor:"2,keyasint"`
	Tokens int    `cbor:"3,keyasint"`
}

// Call is one piece of work for an upstream.
type Call struct {
	Model string `cbor:"1,keyasint,omitempty"`
	// Prompt is the caller's messages as JSON for a model.
	Prompt []byte `cbor:"2,keyasint,omitempty"`
	// MaxOutput bounds the tokens that may be generated.
	MaxOutput int `cbor:"3,keyasint,omitempty"`
	// Resumed is the number of answer tokens that an earlier attempt already gave, and ResumedText their text.
	Resumed     int    `cbor:"4,keyasint,omitempty"`
	ResumedText string `cbor:"5,keyasint,omitempty"`
	Priority    int    `cbor:"6,keyasint,omitempty"`
	// Service, Method, Path, ContentType and Body describe a plain service call.
	Service     string `cbor:"7,keyasint,omitempty"`
	Method      string `cbor:"8,keyasint,omitempty"`
	Path        string `cbor:"9,keyasint,omitempty"`
	ContentType string `cbor:"10,keyasint,omitempty"`
	Body        []byte `cbor:"11,keyasint,omitempty"`
	// Key lets an upstream that knows idempotency keys recognise a repeat.
	Key string `cbor:"12,keyasint,omitempty"`
}

// Outcome is how a run ended.
type Outcome struct {
	Usage  Usage  `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint,omitempty"`
	// Status and ContentType are a plain service's answer.
	Status      int    `cbor:"3,keyasint,omitempty"`
	ContentType string `cbor:"4,keyasint,omitempty"`
}

// Sink receives an upstream's answer as it is made.
type Sink interface {
	// PromptCounted is called once, when the upstream knows the prompt's true token count and how much of it was cached.
	PromptCounted(promptTokens, cachedTokens int)
	// Chunk takes the next piece of the answer.
	Chunk(c Chunk)
}

// LoadReport is what an upstream says of itself, with a lag.
type LoadReport struct {
	Running    int       `json:"running" cbor:"1,keyasint"`
	Queued     int       `json:"queued" cbor:"2,keyasint"`
	ReportedAt time.Time `json:"at" cbor:"3,keyasint"`
	// TokenTime and PrefillTime are seconds per output token and per prompt token.
	TokenTime   float64 `json:"token_time" cbor:"4,keyasint"`
	PrefillTime float64 `json:"prefill_time" cbor:"5,keyasint"`
	// Capacity is how many requests the upstream runs at once.
	Capacity int `json:"capacity" cbor:"6,keyasint"`
	// Prefixes are hashes of recently cached prompt prefixes.
	Prefixes []uint64 `json:"prefixes,omitempty" cbor:"7,keyasint,omitempty"`
}

// Order tells an upstream to load a model version or to change role.
type Order struct {
	Fence  int64  `json:"fence" cbor:"1,keyasint"`
	Action string `json:"action" cbor:"2,keyasint"`
	Target string `json:"target" cbor:"3,keyasint"`
}

// Upstream is a model engine or plain service as its sidecar sees it.
//
// Run fails with UpstreamError, whose Started field tells whether work may have begun.
type Upstream interface {
	Run(ctx context.Context, c Call, s Sink) (Outcome, error)
	Count(ctx context.Context, prompt []byte) (int, error)
	Load(ctx context.Context) (LoadReport, error)
	Order(ctx context.Context, o Order) error
}
