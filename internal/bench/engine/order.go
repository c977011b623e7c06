package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// pendingOrders is how many accepted orders may wait to be carried out.
const pendingOrders = 16

// WeightStore is what an engine loads weights from.
type WeightStore interface {
	Fetch(ctx context.Context, model, version string) error
}

// Order is one management command.
type Order struct {
	ID string `json:"order"`
	// Kind is "load", "unload" or "role".
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	// FencingToken is the fencing token; it rises with each order.
	FencingToken uint64 `json:"token"`
}

// ReceivedOrder is an order that arrived, and whether its token was refused as old.
type ReceivedOrder struct {
	Order
	Rejected bool
}

// ReceivedOrders lists the orders that arrived, in this order.
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

// order accepts one order, which is carried out later; an engine with fencing refuses
// an old token.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch {
	case !slices.Contains([]string{"load", "unload", "role"}, o.Kind):
		http.Error(w, "unknown order", http.StatusBadRequest)
	case !e.fence(o):
		http.Error(w, "old fencing token", http.StatusConflict)
	case !e.orders.Offer(o):
		http.Error(w, "too many orders", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusAccepted)
	}
}

// fence records the order; it returns false for a token that is not newer.
func (e *Engine) fence(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	refused := e.options.Fencing && o.FencingToken <= e.token
	e.received = append(e.received, ReceivedOrder{Order: o, Rejected: refused})
	e.token = max(e.token, o.FencingToken)
	return !refused
}

// loop carries out the accepted orders.
func (e *Engine) loop(ctx context.Context) error {
	for {
		o, err := e.orders.Take(ctx)
		if err != nil {
			return err
		}
		if err := e.carry(ctx, o); err != nil {
			e.options.Log.Warn("order not carried out", zap.String("order", o.ID), zap.Error(err))
		}
	}
}

func (e *Engine) carry(ctx context.Context, o Order) error {
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
	case e.options.Fencing && o.FencingToken != e.token:
		// A newer order arrived meanwhile.
	case o.Kind == "load":
		e.model, e.version = o.Model, o.Version
	case o.Kind == "role":
		e.role = o.Role
	case e.model == o.Model && e.version == o.Version:
		e.version = ""
	}
	return nil
}
