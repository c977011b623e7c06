// Package engine simulates a model engine with continuous batching, a limited
// prefix cache, priorities, resumable streams and switchable faults.
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
	// Slots is the size of the batch, Queue how many sequences may wait for it.
	Slots         int
	QueueCapacity int
	// A step takes Base, plus Each per running sequence, plus Prefill per
	// uncached prompt token of the sequences that it admits.
	BaseStepTime        time.Duration
	StepTimePerSequence time.Duration
	PrefillTimePerToken time.Duration
	// CacheBlocks is the number of prompt blocks that the prefix cache holds.
	CacheBlocks int
	// Fencing makes the engine refuse orders with an old fencing token.
	Fencing bool
	// LoadDuration is how long a load takes besides the fetch of the weights.
	LoadDuration time.Duration
	// Store fetches weights for orders that load a version; nil loads at once.
	Store WeightStore
	Timer timer.Service
	Log   *zap.Logger
	// Crash ends the process; tests replace it.
	Crash func()
}

// Engine is one simulated engine.
type Engine struct {
	Faults fault.Set
	Runs   fault.RunCounter

	options  Options
	batch    *batch
	orders   *fifo.Queue[Order]
	sequence atomic.Uint64
	last     atomic.Pointer[call]

	mu       sync.Mutex
	model    string
	version  string
	role     string
	token    uint64
	received []ReceivedOrder
}

// New returns an engine; Run generates its answers.
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
	return &Engine{options: o, batch: newBatch(o), orders: fifo.New[Order](pendingOrders), model: o.Model, version: o.Version}
}

// Run generates tokens and carries out orders until the context is done.
func (e *Engine) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("batch", e.batch.loop)
	g.Go("orders", e.loop)
	return g.Wait()
}

// Features lists what the engine announces that it can do.
func Features() []string { return []string{"resume", "priority", "cancel"} }

// Load returns the load of the moment.
func (e *Engine) Load() announce.Load { return e.batch.load() }

// Register serves chat completions, orders, faults and run counts.
func (e *Engine) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("POST /v1/orders", e.order)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(e.Load())
	})
	e.Faults.Register(mux)
	e.Runs.Register(mux)
}

// call is one chat completion request being served.
type call struct {
	engine  *Engine
	writer  http.ResponseWriter
	request *http.Request
	// id is the identity that the answer carries.
	id       string
	version  string
	chat     Request
	fault    fault.Fault
	resume   int
	sequence *sequence
	finish   string
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 8<<20))
	if err != nil {
		return
	}
	c := &call{engine: e, writer: w, request: r, id: r.Header.Get("X-Request-Id")}
	if err = json.Unmarshal(body, &c.chat); err != nil {
		c.refuse(http.StatusBadRequest, "invalid", err.Error())
		return
	}
	c.fault = e.Faults.Match(body)
	if !c.accept() {
		return
	}
	e.Runs.Begin(fault.RequestID(r))
	c.run()
}

// accept checks the request and submits it to the batch.
func (c *call) accept() bool {
	e := c.engine
	e.mu.Lock()
	model, version := e.model, e.version
	e.mu.Unlock()
	c.version = version
	asked := c.request.Header.Get("Wisteriakeel-Version")
	if c.chat.Model != model || (asked != "" && asked != version) {
		c.refuse(http.StatusServiceUnavailable, "version", fmt.Sprintf("engine holds %s@%s", model, version))
		return false
	}
	if c.fault.Kind == fault.Reject {
		c.refuse(http.StatusServiceUnavailable, "full", "told to refuse")
		return false
	}
	words, finish := AnswerWords(c.chat.Messages, c.chat.MaxTokens)
	if c.fault.Kind == fault.ResponseMismatch {
		words = c.confuse(len(words))
	}
	c.finish = finish
	c.resume, _ = strconv.Atoi(c.request.Header.Get("Wisteriakeel-Resume"))
	c.resume = min(max(c.resume, 0), len(words))
	priority, _ := strconv.Atoi(c.request.Header.Get("Wisteriakeel-Priority"))
	c.sequence = &sequence{ctx: c.request.Context(), priority: priority, words: words}
	// The batch generates at least one word; stream drops it if the caller has it already.
	c.sequence.next = min(c.resume, len(words)-1)
	c.sequence.blocks, c.sequence.prompt = blocks(c.chat.Messages)
	if !e.batch.submit(c.sequence) {
		c.refuse(http.StatusServiceUnavailable, "full", "batch and queue are full")
		return false
	}
	return true
}

// refuse answers that the request was not run.
func (c *call) refuse(status int, code, text string) {
	c.headers()
	c.writer.Header().Set("Content-Type", "application/json")
	c.writer.Header().Set("Wisteriakeel-Outcome", "not run")
	c.writer.WriteHeader(status)
	_ = json.NewEncoder(c.writer).Encode(map[string]any{"error": map[string]any{
		"message": text, "type": "refused", "code": code, "outcome": "not run", "retry": 100,
	}})
}

// headers sets the headers that every answer carries.
func (c *call) headers() {
	l := c.engine.Load()
	h := c.writer.Header()
	h.Set("X-Request-Id", c.id)
	h.Set("Wisteriakeel-Version", c.version)
	h.Set("Wisteriakeel-Load", fmt.Sprintf("running=%d waiting=%d slots=%d tokens=%d sequence=%d",
		l.Running, l.Waiting, l.Slots, l.Tokens, c.engine.sequence.Add(1)))
}
