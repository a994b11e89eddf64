// Package retry says what may be tried again, and how much.
//
// A request has one of three outcomes. Only a request that was not run, or
// one that is idempotent, may be tried again, and only within a budget that
// grows with the requests, so that retries cannot multiply an overload.
package retry

import "net/http"

// Outcome is what is known of a request.
type Outcome string

// The outcomes.
const (
	// Answered: the caller gets the whole answer to its own request.
	Answered Outcome = "answered"
	// NotRun: it is proved that the request was not run. It was never handed
	// to a server, or the server said that it shed it.
	NotRun Outcome = "not-run"
	// Unknown: the request was handed over and no whole answer came.
	Unknown Outcome = "unknown"
)

// Idempotent reports whether a method may be run twice without harm, as
// RFC 9110, section 9.2.2, defines.
func Idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace,
		http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// May reports whether a request with an outcome may be tried again.
func Allowed(method string, o Outcome) bool {
	return o == NotRun || o == Unknown && Idempotent(method)
}

// Settings of a Budget. The zero value is usable.
type Settings struct {
	// Share is how many retries each request earns. The default is 0.1.
	TokensPerRequest float64
	// Most bounds the retries that may be saved up. The default is 20.
	MaxTokens float64
}

const (
	defaultShare = 0.1
	defaultMost  = 20
)

// Budget bounds retries. It is not safe for concurrent use.
type Budget struct {
	set    Settings
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(set Settings) *Budget {
	if set.TokensPerRequest == 0 {
		set.TokensPerRequest = defaultShare
	}
	if set.MaxTokens == 0 {
		set.MaxTokens = defaultMost
	}
	return &Budget{set: set, tokens: set.MaxTokens}
}

// Request notes a first try.
func (b *Budget) AddRequest() { b.tokens = min(b.tokens+b.set.TokensPerRequest, b.set.MaxTokens) }

// Take reports whether a retry is within the budget and takes it.
func (b *Budget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
