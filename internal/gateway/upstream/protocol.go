// Package upstream sends requests to upstreams over HTTP/1.1. Each exchange has a connection
// of its own, and the framing of the response is checked to its end.
package upstream

import "net/http"

// Protocol defines the header names and values of the protocol that callers and upstreams
// speak.
type Protocol struct {
	// RequestID identifies one attempt of a caller. Upstreams echo it.
	RequestID string
	// Deadline is the time in milliseconds that the sender will wait.
	Deadline string
	// PromptPrefix lists the parts of the prompt, of which only the last is never shared with
	// other requests.
	PromptPrefix string
	// LastEventID is the id of the last event that the caller received of a stream.
	LastEventID string
	// Signature proves that a response was made by the upstream.
	Signature string
	// Account is the client account, which only the gateway sets.
	Account string
	// ExpectedUpstream is the id of the upstream that the request is meant for.
	ExpectedUpstream string
	// Load is the load that the upstream reports: running, waiting, slots.
	Load string
	// RateLimit is the number of requests a second that the upstream takes from all instances
	// together, as long as its responses state it.
	RateLimit string
	// Brittle is the number of requests that the upstream may have to refuse in a second. With more
	// it fails.
	Brittle string
	// Leaving is 1 in the responses of an upstream that leaves.
	Leaving string
	// NotExecuted marks a response to a request that did not run.
	NotExecuted string
	// Model is the model that the request asks for.
	Model string
	// Urgency is the rank of the request in the upstream's queue; 0 is served first.
	Urgency string
	// TokenUsage is the size of a request: tokens in and maximum tokens out.
	TokenUsage string
	// Confidence is the model's rating of its own answer, 0 to 100.
	Confidence string
	// Session is the session that the request belongs to.
	Session string
	// Authorization holds AuthScheme, a space and the caller's key.
	Authorization string
	AuthScheme    string
	// GatewayOnly lists further headers that only the gateway may set.
	GatewayOnly []string
	// AutoModel is the value of Model that leaves the choice to the gateway.
	AutoModel string
	// UrgencyRanks is the number of values of Urgency.
	UrgencyRanks int
}

// hopByHop lists the headers that apply to a single connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// RequestHeaders returns the headers of a caller's request that are forwarded to an upstream.
func (p *Protocol) RequestHeaders(h http.Header) http.Header {
	out := withoutHopByHop(h)
	for _, name := range []string{p.Authorization, p.Account, p.ExpectedUpstream, p.Urgency, p.Deadline} {
		out.Del(name)
	}
	for _, name := range p.GatewayOnly {
		out.Del(name)
	}
	return out
}

// ResponseHeaders returns the headers of a response that are forwarded to the caller.
func ResponseHeaders(h http.Header) http.Header { return withoutHopByHop(h) }

// withoutHopByHop copies a header without the hop-by-hop fields, including those that the
// Connection field lists.
func withoutHopByHop(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, list := range h["Connection"] {
		for _, name := range splitList(list) {
			out.Del(name)
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}
