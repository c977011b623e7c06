package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// maxPendingOrders is the number of accepted orders that may wait for execution.
const maxPendingOrders = 16

// WeightStore provides the weights of model versions.
type WeightStore interface {
	Fetch(ctx context.Context, model, version string) error
}

// Order is a command to an engine to load or unload a model version or to change its role.
type Order struct {
	ID string `json:"order"`
	// Kind is "load", "unload" or "role".
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	// FencingToken increases with each order.
	FencingToken uint64 `json:"token"`
}

// ReceivedOrder is an order that arrived. Rejected is true if its fencing token was stale.
type ReceivedOrder struct {
	Order
	Rejected bool
}

// ReceivedOrders returns the received orders, including rejected ones, in order of arrival.
func (e *Engine) ReceivedOrders() []ReceivedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.received)
}

// LoadedModel returns the model and the version that the engine serves.
func (e *Engine) LoadedModel() (model, version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model, e.version
}

// handleOrder queues an order for execution. With fencing enabled, it rejects
// orders with a stale token.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch {
	case !slices.Contains([]string{"load", "unload", "role"}, o.Kind):
		http.Error(w, "unknown order", http.StatusBadRequest)
	case !e.recordOrder(o):
		http.Error(w, "old fencing token", http.StatusConflict)
	case !e.orders.Offer(o):
		http.Error(w, "too many orders", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusAccepted)
	}
}

// recordOrder records a received order. It returns false if fencing is enabled and
// the token is not higher than all earlier ones.
func (e *Engine) recordOrder(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	rejected := e.options.Fencing && o.FencingToken <= e.highestToken
	e.received = append(e.received, ReceivedOrder{Order: o, Rejected: rejected})
	e.highestToken = max(e.highestToken, o.FencingToken)
	return !rejected
}

// executeOrders executes queued orders one at a time.
func (e *Engine) executeOrders(ctx context.Context) error {
	for {
		o, err := e.orders.Take(ctx)
		if err != nil {
			return err
		}
		if err := e.execute(ctx, o); err != nil {
			e.options.Log.Warn("order execution failed", zap.String("order", o.ID), zap.Error(err))
		}
	}
}

// execute executes an order. With fencing enabled, an order has no effect if a newer one arrived
// in the meantime.
func (e *Engine) execute(ctx context.Context, o Order) error {
	if o.Kind == "load" {
		if err := timer.Sleep(ctx, e.options.Timer, e.options.LoadDuration); err != nil {
			return err
		}
		if e.options.Store != nil {
			if err := e.options.Store.Fetch(ctx, o.Model, o.Version); err != nil {
				return err
			}
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.options.Fencing && o.FencingToken != e.highestToken:
		// A newer order arrived while this one was loading.
	case o.Kind == "load":
		e.model, e.version = o.Model, o.Version
	case o.Kind == "role":
		e.role = o.Role
	case e.model == o.Model && e.version == o.Version:
		e.version = ""
	}
	return nil
}
