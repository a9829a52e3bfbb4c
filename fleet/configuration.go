package fleet

import "time"

// RouteKind is the kind of a route, which determines whether its requests may be retried.
type RouteKind string

// The kinds of route.
const (
	// Safe requests may run more than once.
	Safe RouteKind = "safe"
	// Unsafe requests run at most once.
	Unsafe RouteKind = "unsafe"
	// Streaming requests are answered by a series of events.
	Streaming RouteKind = "streaming"
)

// Configuration is one version of the operators' configuration. It is immutable.
type Configuration struct {
	Version int64
	Routes  []Route
	// NoRoutes means that the operators have removed all routes, and not that the configuration tells nothing of them.
	NoRoutes bool
	Services map[string]Service
	// Accounts holds the client accounts. If there is one, requests need an API key.
	Accounts []Account
	// NeedsKey means that requests need a key, also if no account has one any more.
	NeedsKey bool
	Limits   Limits
}

// Account is a client account with its current API keys.
type Account struct {
	Name string
	Keys []string
	// Priority is the priority of the account's requests, 0 being the highest. If
	// HasPriority is false, the priority of the route applies.
	Priority    int
	HasPriority bool
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   RouteKind
	// Timeout is the longest time that a request may wait.
	Timeout time.Duration
	// Objective is the latency objective for the response, or for the first event of a stream.
	Objective time.Duration
	// PauseObjective is the objective for the longest pause between events.
	PauseObjective time.Duration
	Priority       int // 0 is the highest
	MaxAttempts    int // number of endpoints that one request may be sent to
	Public         bool
	Resumable      bool
	Split          []Share
}

// Share is the share of a route's requests that one service receives.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // accepted by one endpoint from all nodes together
	// ColdPerSecond is the request rate that a cold endpoint can take; 0 means that the
	// endpoints of this service are never cold.
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model endpoints of a service.
type Engine struct {
	Slots int // requests that a group processes concurrently
	// CacheTokens is how many tokens of prompts and answers a group holds, 0 if unknown.
	CacheTokens int
	Models      []Model
	// Step is the time of one decoding step, PerSequence the time that each decoding
	// request adds, PerThousandContext the time that each 1,000 tokens of context add.
	Step               time.Duration
	PerSequence        time.Duration
	PerThousandContext time.Duration
	// ReadPerSecond is the rate at which prompt tokens are processed (prefill).
	ReadPerSecond float64
	// PerMillionPairs is the attention time for a million pairs of a token and an earlier one.
	PerMillionPairs   time.Duration
	Chunk             int // largest number of prompt tokens processed in one step
	Stride            int // steps of one pass, and tokens per event
	ReportLag         time.Duration
	LoadsPerSecond    float64 // loads started per second from the weight store, all VMs together
	LoadsAtOnce       int
	FormationTime     time.Duration // from the order to open until the group serves requests
	CrossDomainFactor float64       // factor on the times of a group that spans fabric domains
	MeanPromptTokens  float64       // mean length of a prompt, tokens
	MeanAnswerTokens  float64       // mean length of an answer, tokens
}

// Model is one model that groups of an engine service may serve.
type Model struct {
	Name       string
	Size       int     // VMs of one group
	Share      float64 // share of the work at startup
	TimeFactor float64 // factor on all processing times of a group
	Load       time.Duration
	Warm       time.Duration // time to load from the VM's host memory
}

// Model returns the engine's model with the given name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Holds reports whether a group has memory for a single request of that many tokens.
func (e *Engine) Holds(prompt, answer int) bool {
	return e.CacheTokens <= 0 || prompt+answer <= e.CacheTokens
}
