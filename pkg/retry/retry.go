// Package retry decides whether a request may be retried, and limits the number
// of retries.
//
// A request has one of three outcomes: answered, not run or unknown. It may be
// retried only if it was not run, or if its outcome is unknown and its method is
// idempotent. The retry budget is proportional to the number of
// requests, so that retries do not amplify an overload.
package retry

import "net/http"

// Outcome is what is known about whether a request was run.
type Outcome string

// The outcomes.
const (
	// Answered means that the caller gets the complete answer to its request.
	Answered Outcome = "answered"
	// NotRun means that the request certainly was not run: it was not sent to
	// a server, or the server reported that it shed the request.
	NotRun Outcome = "not-run"
	// Unknown means that the request was sent to a server and no complete
	// answer came back, so it may have been run.
	Unknown Outcome = "unknown"
)

// Idempotent reports whether an HTTP method is idempotent by RFC 9110, section
// 9.2.2.
func Idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace,
		http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// Allowed reports whether a request with the HTTP method and the outcome may be
// retried.
func Allowed(method string, o Outcome) bool {
	return o == NotRun || o == Unknown && Idempotent(method)
}

// Settings configures a Budget. The zero value selects the defaults.
type Settings struct {
	// TokensPerRequest is the number of retry tokens that each request adds to
	// the budget. The default is 0.1.
	TokensPerRequest float64
	// MaxTokens is the maximum number of tokens in the budget. The default is 20.
	MaxTokens float64
}

const (
	defaultTokensPerRequest = 0.1
	defaultMaxTokens        = 20
)

// Budget is a token bucket that limits retries to a fraction of the requests. It
// is not safe for concurrent use.
type Budget struct {
	settings Settings
	tokens   float64
}

// NewBudget returns a budget with the maximum number of tokens.
func NewBudget(settings Settings) *Budget {
	if settings.TokensPerRequest == 0 {
		settings.TokensPerRequest = defaultTokensPerRequest
	}
	if settings.MaxTokens == 0 {
		settings.MaxTokens = defaultMaxTokens
	}
	return &Budget{settings: settings, tokens: settings.MaxTokens}
}

// AddRequest adds Settings.TokensPerRequest to the budget, up to
// Settings.MaxTokens.
func (b *Budget) AddRequest() {
	b.tokens = min(b.tokens+b.settings.TokensPerRequest, b.settings.MaxTokens)
}

// TakeRetry takes a token for one retry. It returns false if there is none, in
// which case the request must not be retried.
func (b *Budget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
