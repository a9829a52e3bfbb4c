package fleet

import "time"

// Kind says what may be repeated of a route's requests.
type Kind string

// The kinds of route.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Streaming requests are answered by a series of events.
	Streaming Kind = "streaming"
)

// Configuration is what operators decided, as of one version. It is immutable.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	// Accounts holds the client accounts; empty means that no key is asked for.
	Accounts []Account
	Limits   Limits
}

// Account is a client account with the API keys that are now its own.
type Account struct {
	Name string
	Keys []string
	// Priority ranks the account's requests, 0 first. HasPriority is false
	// where the route's own rank counts.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route leads the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event,
	// within which the caller is served well.
	Objective time.Duration
	// PauseObjective is the longest pause between events that is still good.
	PauseObjective time.Duration
	Priority       int // 0 is the most urgent
	MaxAttempts    int // endpoints that one request may be sent to
	Public         bool
	Resumable      bool
	Split          []Share
}

// Share is one service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of endpoints that answer alike.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // that one endpoint accepts from all nodes together
	// ColdPerSecond is the rate that a cold endpoint bears; 0 means that
	// endpoints of this service are never cold.
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model endpoints of a service.
type Engine struct {
	Slots  int // requests that a group works on at once
	Models []Model
	// Step is the time of one token step, PerSequence what each writing
	// request adds, PerThousandContext what each 1,000 tokens of context add.
	Step               time.Duration
	PerSequence        time.Duration
	PerThousandContext time.Duration
	// ReadPerSecond is the rate at which prompt tokens are read.
	ReadPerSecond float64
	// PerMillionPairs is the time for a million pairs of a token and an earlier one.
	PerMillionPairs   time.Duration
	Chunk             int // prompt tokens read in one step, at most
	Stride            int // steps of one pass, and tokens of one event
	ReportLag         time.Duration
	LoadsPerSecond    float64 // starts of loads from the weight store, all VMs together
	LoadsAtOnce       int
	FormationTime     time.Duration // from the order to open until a group serves
	CrossDomainFactor float64       // slow-down of a group across fabric domains
	MeanPromptTokens  float64       // mean prompt, tokens
	MeanAnswerTokens  float64       // mean answer, tokens
}

// Model is one model that groups of an engine service may serve.
type Model struct {
	Name       string
	Size       int     // VMs of one group
	Share      float64 // of the work at the start
	TimeFactor float64 // factor on all of a group's times
	Load       time.Duration
	Warm       time.Duration // load from the VM's own host memory
}

// Model returns the engine's model of a name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}
