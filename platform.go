package masticway

import (
	"context"
	"time"
)

// Row is a versioned row of the table. Version zero means that the row is absent.
type Row struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// Condition requires that a row has the given version when a transaction commits.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes a row. A nil value deletes it.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transaction is a set of writes that commits atomically if every condition holds.
type Transaction struct {
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions"`
	Puts       []Put       `json:"puts"`
}

// Table is the platform's transactional table service.
//
// Get returns a row with version zero if the key is absent. Commit fails with
// ConflictError if a condition does not hold, with UnavailableError if certainly
// nothing was written, and with OutcomeUnknownError if the writes may have been made.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	Scan(ctx context.Context, prefix string) ([]Row, error)
	Commit(ctx context.Context, tx Transaction) error
}

// ObjectStore is the platform's object store. Put overwrites an existing object and is idempotent.
type ObjectStore interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	List(ctx context.Context, prefix string) ([]string, error)
}

// Role is the role of a process in the fleet.
type Role string

// The roles in the instance list.
const (
	RoleRouter  Role = "router"
	RoleSidecar Role = "sidecar"
)

// InstanceState is the state of an instance as reported by the platform.
type InstanceState string

// The states of an instance. An instance with InstanceLeaving is about to end and must get no new work. InstanceEnded guarantees
// that the processes of the instance have ended.
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
	// Models and Services are what the upstream of a sidecar serves.
	Models   []string `json:"models,omitempty"`
	Services []string `json:"services,omitempty"`
}

// InstanceReading is the result of reading the instance list.
type InstanceReading struct {
	Version   string     `json:"version"`
	Instances []Instance `json:"instances"`
	// Unchanged is set if the list still has the version that the caller of Instances knows. Instances is empty then.
	Unchanged bool `json:"same"`
}

// InstanceList is the platform's list of instances, which may be stale.
type InstanceList interface {
	// Instances reads the list. If the list still has the known version, the reading has Unchanged set and no instances.
	Instances(ctx context.Context, knownVersion string) (InstanceReading, error)
}

// Link is an authenticated, ordered message channel to one peer process.
type Link[M any] interface {
	// Send queues a message. It fails if the link is down or its queue is full.
	Send(m M) error
	// Peer returns the process at the other end.
	Peer() Peer
	// Close ends the link.
	Close()
}

// Peer identifies the process at the other end of a link.
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

// Chunk is one part of an answer.
type Chunk struct {
	Index  int    `cbor:"1,keyasint"`
	Text   string `cbor:"2,keyasint"`
	Tokens int    `cbor:"3,keyasint"`
}

// Call is a request to an upstream.
type Call struct {
	Model string `cbor:"1,keyasint,omitempty"`
	// Prompt is the caller's messages for a model, encoded as JSON.
	Prompt []byte `cbor:"2,keyasint,omitempty"`
	// MaxOutput is the maximum number of tokens to generate.
	MaxOutput int `cbor:"3,keyasint,omitempty"`
	// Resumed is the number of answer tokens that earlier attempts have delivered, and ResumedText is their text.
	Resumed     int    `cbor:"4,keyasint,omitempty"`
	ResumedText string `cbor:"5,keyasint,omitempty"`
	Priority    int    `cbor:"6,keyasint,omitempty"`
	// Service, Method, Path, ContentType and Body describe a plain service call.
	Service     string `cbor:"7,keyasint,omitempty"`
	Method      string `cbor:"8,keyasint,omitempty"`
	Path        string `cbor:"9,keyasint,omitempty"`
	ContentType string `cbor:"10,keyasint,omitempty"`
	Body        []byte `cbor:"11,keyasint,omitempty"`
	// Key is the idempotency key. An upstream that supports such keys recognizes a retry by it.
	Key string `cbor:"12,keyasint,omitempty"`
}

// Outcome is how a run ended.
type Outcome struct {
	Usage Usage `cbor:"1,keyasint"`
	// Reason is the finish reason that a model engine reports.
	Reason string `cbor:"2,keyasint,omitempty"`
	// Status and ContentType are those of a plain service's answer.
	Status      int    `cbor:"3,keyasint,omitempty"`
	ContentType string `cbor:"4,keyasint,omitempty"`
}

// Sink receives an upstream's answer while it is generated.
type Sink interface {
	// PromptCounted is called at most once, when a model engine has reported the token count of the prompt and how many of the
	// tokens were cached.
	PromptCounted(promptTokens, cachedTokens int)
	// Chunk is called with the next part of the answer.
	Chunk(c Chunk)
}

// LoadReport is the load that an upstream reports about itself. It may be stale.
type LoadReport struct {
	// Running and Queued are numbers of requests.
	Running    int       `json:"running" cbor:"1,keyasint"`
	Queued     int       `json:"queued" cbor:"2,keyasint"`
	ReportedAt time.Time `json:"at" cbor:"3,keyasint"`
	// TokenTime and PrefillTime are the seconds per output token and per prompt token.
	TokenTime   float64 `json:"token_time" cbor:"4,keyasint"`
	PrefillTime float64 `json:"prefill_time" cbor:"5,keyasint"`
	// Capacity is the number of requests that the upstream runs concurrently.
	Capacity int `json:"capacity" cbor:"6,keyasint"`
	// Prefixes are the hashes of recently cached prompt prefixes.
	Prefixes []uint64 `json:"prefixes,omitempty" cbor:"7,keyasint,omitempty"`
}

// Order is a command to an upstream to load a model version or to change its role.
type Order struct {
	// Fence is the fencing number of the order. An upstream that checks fencing numbers refuses an order with a lower number than
	// that of an earlier order.
	Fence  int64  `json:"fence" cbor:"1,keyasint"`
	Action string `json:"action" cbor:"2,keyasint"`
	Target string `json:"target" cbor:"3,keyasint"`
}

// Upstream is a model engine or plain service as used by its sidecar.
//
// Run fails with UpstreamError, whose Started field is set if the work may have started. Count returns the number of tokens of a
// prompt, and Load the upstream's load report.
type Upstream interface {
	Run(ctx context.Context, c Call, s Sink) (Outcome, error)
	Count(ctx context.Context, prompt []byte) (int, error)
	Load(ctx context.Context) (LoadReport, error)
	Order(ctx context.Context, o Order) error
}
