package engine

import (
	"context"
	"encoding/json"
	"net/http"
)

// Store is what an engine loads weights from.
type Store interface {
	Fetch(ctx context.Context, model, version string) error
}

// Order is one management command.
type Order struct {
	// Kind is "load" or "role".
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	// Token is the fencing token; it rises with each order.
	Token uint64 `json:"token"`
}

// order carries out one order; an engine with fencing refuses an old token.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.fence(o.Token) {
		http.Error(w, "old fencing token", http.StatusConflict)
		return
	}
	if o.Kind == "load" && e.options.Store != nil {
		if err := e.options.Store.Fetch(r.Context(), o.Model, o.Version); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// A newer order may have arrived while the weights were fetched.
	if e.options.Fencing && o.Token != e.token {
		http.Error(w, "overtaken by a newer order", http.StatusConflict)
		return
	}
	switch o.Kind {
	case "load":
		e.model, e.version = o.Model, o.Version
	case "role":
		e.role = o.Role
	default:
		http.Error(w, "unknown order", http.StatusBadRequest)
	}
}

// fence records the token; it returns false for one that is not newer.
func (e *Engine) fence(token uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.Fencing && token <= e.token {
		return false
	}
	e.token = max(e.token, token)
	return true
}
