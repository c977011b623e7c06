// Package upstream exchanges one request and its answer with one upstream over a
// connection of its own, and checks the framing of the answer to its end.
package upstream

import "net/http"

// Protocol are the header names of the protocol that callers and upstreams speak.
type Protocol struct {
	// RequestID identifies one attempt of a caller; upstreams echo it.
	RequestID string
	// Deadline holds the milliseconds that the sender will wait.
	Deadline string
	// PromptPrefix lists the parts of the prompt.
	PromptPrefix string
	// LastEventID is the last event that was received of a stream.
	LastEventID string
	// Signature proves that an answer is the upstream's.
	Signature string
	// Account is the client account as the gateway tells it to the upstream.
	Account string
	// ExpectedUpstream names the upstream that the request is meant for.
	ExpectedUpstream string
	// Load is what the upstream says of its load: running, waiting, slots.
	Load string
	// NotExecuted marks an answer to a request that did not run.
	NotExecuted string
	// Model names the model of a request.
	Model string
	// Urgency is the rank of a request at an engine, 0 to 9.
	Urgency string
	// Confidence is the model's opinion of its answer, 0 to 100.
	Confidence string
	// Session groups requests that follow each other.
	Session string
	// Authorization carries the caller's key, after Scheme and a space.
	Authorization string
	AuthScheme    string
	// GatewayOnly lists further headers that only the gateway may set.
	GatewayOnly []string
	// AutoModel is the value of Model that leaves the choice to the gateway.
	AutoModel string
	// UrgencyPerPriority is the number of ranks between two priorities.
	UrgencyPerPriority int
}

// connection lists the headers that concern one connection only.
var connection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// RequestHeaders returns the headers of a request that are passed on to an upstream.
func (n *Protocol) RequestHeaders(h http.Header) http.Header {
	out := withoutConnection(h)
	for _, name := range []string{n.Authorization, n.Account, n.ExpectedUpstream, n.Urgency, n.Deadline} {
		out.Del(name)
	}
	for _, name := range n.GatewayOnly {
		out.Del(name)
	}
	return out
}

// ResponseHeaders returns the headers of an answer that are passed on to the caller.
func ResponseHeaders(h http.Header) http.Header { return withoutConnection(h) }

// withoutConnection copies a header without the fields that concern one connection,
// those that the Connection field names included.
func withoutConnection(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, list := range h["Connection"] {
		for _, name := range splitList(list) {
			out.Del(name)
		}
	}
	for _, name := range connection {
		delete(out, name)
	}
	return out
}
