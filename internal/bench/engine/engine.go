// Package engine simulates an inference engine with continuous batching, a bounded
// prefix cache, request priorities, resumable streams and fault injection.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/bench/announce"
	"wisteriakeel.example/wisteriakeel/internal/bench/fault"
	"wisteriakeel.example/wisteriakeel/internal/kernel/fifo"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Options configures an engine.
type Options struct {
	Service string
	Model   string
	Version string
	// Slots is the maximum batch size, QueueCapacity the number of sequences that
	// may wait for a slot.
	Slots         int
	QueueCapacity int
	// A step takes BaseStepTime, plus StepTimePerSequence per running sequence, plus
	// PrefillTimePerToken per uncached prompt token of newly admitted sequences.
	BaseStepTime        time.Duration
	StepTimePerSequence time.Duration
	PrefillTimePerToken time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// Fencing makes the engine reject orders with a stale fencing token.
	Fencing bool
	// LoadDuration is the time to load a model version, not counting the fetch of its weights.
	LoadDuration time.Duration
	// Store fetches the weights for load orders; nil skips the fetch.
	Store WeightStore
	Timer timer.Service
	Log   *zap.Logger
	// Crash terminates the process; tests replace it.
	Crash func()
}

// Engine is a simulated inference engine.
type Engine struct {
	Faults fault.Set
	// Runs counts runs per request id.
	Runs fault.RunCounter

	options      Options
	batch        *batch
	orders       *fifo.Queue[Order]
	loadSequence atomic.Uint64        // sequence number of the last reported load
	lastCall     atomic.Pointer[call] // the most recently served request

	mu           sync.Mutex
	model        string
	version      string
	role         string
	highestToken uint64 // highest fencing token received
	received     []ReceivedOrder
}

// New returns an engine. Run must be running for it to generate tokens.
func New(o Options) *Engine {
	if o.Slots == 0 {
		o.Slots = 8
	}
	if o.Crash == nil {
		o.Crash = func() { os.Exit(3) }
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Engine{options: o, batch: newBatch(o), orders: fifo.New[Order](maxPendingOrders), model: o.Model, version: o.Version}
}

// Run generates tokens and executes orders until the context is done.
func (e *Engine) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("batch", e.batch.run)
	g.Go("orders", e.executeOrders)
	return g.Wait()
}

// Features lists the optional features that the engine announces.
func Features() []string { return []string{"resume", "priority", "cancel"} }

// Load returns the current load.
func (e *Engine) Load() announce.Load { return e.batch.load() }

// Register adds the handlers for chat completions, orders, load, faults and run counts.
func (e *Engine) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", e.handleChat)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(e.Load())
	})
	e.Faults.Register(mux)
	e.Runs.Register(mux)
}

// call is a chat completion request in progress.
type call struct {
	engine  *Engine
	writer  http.ResponseWriter
	request *http.Request
	// id is the request id that the response carries.
	id      string
	version string
	body    Request
	fault   fault.Fault
	// resumeFrom is the number of words that the caller already has.
	resumeFrom   int
	sequence     *sequence
	finishReason string
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 8<<20))
	if err != nil {
		return
	}
	c := &call{engine: e, writer: w, request: r, id: r.Header.Get("X-Request-Id")}
	if err = json.Unmarshal(body, &c.body); err != nil {
		c.reject(http.StatusBadRequest, "invalid", err.Error())
		return
	}
	c.fault = e.Faults.Match(body)
	if !c.accept() {
		return
	}
	e.Runs.Begin(fault.RequestID(r))
	c.run()
}

// accept validates the request and submits it to the batch. It returns false if
// the request was rejected.
func (c *call) accept() bool {
	e := c.engine
	e.mu.Lock()
	model, version := e.model, e.version
	e.mu.Unlock()
	c.version = version
	requested := c.request.Header.Get("Wisteriakeel-Version")
	if c.body.Model != model || (requested != "" && requested != version) {
		c.reject(http.StatusServiceUnavailable, "version", fmt.Sprintf("engine holds %s@%s", model, version))
		return false
	}
	if c.fault.Kind == fault.Reject {
		c.reject(http.StatusServiceUnavailable, "full", "told to refuse")
		return false
	}
	words, finishReason := AnswerWords(c.body.Messages, c.body.MaxTokens)
	if c.fault.Kind == fault.ResponseMismatch {
		words = c.useOtherResponse(len(words))
	}
	c.finishReason = finishReason
	c.resumeFrom, _ = strconv.Atoi(c.request.Header.Get("Wisteriakeel-Resume"))
	c.resumeFrom = min(max(c.resumeFrom, 0), len(words))
	priority, _ := strconv.Atoi(c.request.Header.Get("Wisteriakeel-Priority"))
	c.sequence = &sequence{ctx: c.request.Context(), priority: priority, words: words}
	// The batch generates at least one word; writeStream drops it if the caller already has it.
	c.sequence.nextWord = min(c.resumeFrom, len(words)-1)
	c.sequence.promptBlocks, c.sequence.promptTokens = blockHashes(c.body.Messages)
	if !e.batch.submit(c.sequence) {
		c.reject(http.StatusServiceUnavailable, "full", "batch and queue are full")
		return false
	}
	return true
}

// reject responds that the request was not run.
func (c *call) reject(status int, code, message string) {
	c.setHeaders()
	c.writer.Header().Set("Content-Type", "application/json")
	c.writer.Header().Set("Wisteriakeel-Outcome", "not run")
	c.writer.WriteHeader(status)
	_ = json.NewEncoder(c.writer).Encode(map[string]any{"error": map[string]any{
		"message": message, "type": "refused", "code": code, "outcome": "not run", "retry": 100,
	}})
}

// setHeaders sets the headers that every response carries.
func (c *call) setHeaders() {
	l := c.engine.Load()
	h := c.writer.Header()
	h.Set("X-Request-Id", c.id)
	h.Set("Wisteriakeel-Version", c.version)
	h.Set("Wisteriakeel-Load", fmt.Sprintf("running=%d waiting=%d slots=%d tokens=%d sequence=%d",
		l.Running, l.Waiting, l.Slots, l.Tokens, c.engine.loadSequence.Add(1)))
}
