// Package announce lets a simulated service announce itself to the entries and
// leave them again.
package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Load is what a service reports about its work.
type Load struct {
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Slots    int    `json:"slots"`
	Tokens   int    `json:"tokens"`
	Sequence uint64 `json:"sequence"`
}

// Announcement is one announcement.
type Announcement struct {
	Name        string   `json:"name"`
	Incarnation uint64   `json:"incarnation"`
	Sequence    uint64   `json:"sequence"`
	Address     string   `json:"address"`
	Service     string   `json:"service"`
	Model       string   `json:"model"`
	Version     string   `json:"version"`
	Zone        string   `json:"zone"`
	Fencing     bool     `json:"fencing"`
	LeaseMillis int      `json:"lease"`
	Features    []string `json:"features"`
	Load        Load     `json:"load"`
}

// Options configures an announcer.
type Options struct {
	// Announcement is what is announced; Incarnation, Sequence and Load are filled in.
	Announcement Announcement
	// Entries are the first addresses to try; later ones come with the replies.
	Entries []string
	Token   string
	Timer   timer.Service
	Log     *zap.Logger
	// LoadedModel returns the model and version of the moment; another one than announced last
	// begins a new incarnation. It may be nil.
	LoadedModel func() (model, version string)
	// Load reports the load of the moment; nil reports none.
	Load func() Load
}

// Announcer announces one upstream.
type Announcer struct {
	options Options
	client  *http.Client

	mu       sync.Mutex
	upstream Announcement
	known    []string
	interval time.Duration
}

// transport is shared, since one process may hold hundreds of announcers.
var transport = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}

// New returns an announcer with a new incarnation.
func New(o Options) *Announcer {
	u := o.Announcement
	// A later process start must have the higher incarnation, so the wall clock numbers them.
	u.Incarnation = uint64(o.Timer.Wall().UnixMicro())
	if u.LeaseMillis == 0 {
		u.LeaseMillis = 5000
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Announcer{
		options: o, upstream: u, interval: time.Second,
		client: &http.Client{Timeout: time.Second, Transport: transport},
	}
}

// Run announces until the context is done.
func (a *Announcer) Run(ctx context.Context) error {
	for {
		wait := a.interval
		if err := a.Announce(ctx); err != nil && ctx.Err() == nil {
			a.options.Log.Warn("announcement failed", zap.Error(err))
			// Short, since a service without a registration gets no work.
			wait = min(wait, 200*time.Millisecond)
		}
		if err := timer.Sleep(ctx, a.options.Timer, wait); err != nil {
			return err
		}
	}
}

// Announce sends one announcement to the first entry that accepts it.
func (a *Announcer) Announce(ctx context.Context) error {
	var reply struct {
		Interval int `json:"interval"`
		Entries  []struct {
			Address string `json:"address"`
		} `json:"entries"`
	}
	body := a.next()
	if err := a.try(ctx, "/v1/upstreams/announce", body, &reply); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply.Interval > 0 {
		a.interval = time.Duration(reply.Interval) * time.Millisecond
	}
	a.known = a.known[:0]
	for _, e := range reply.Entries {
		a.known = append(a.known, e.Address)
	}
	return nil
}

// Deregister ends the registration; it tries all entries until the context is done.
func (a *Announcer) Deregister(ctx context.Context) error {
	u := a.next()
	body := map[string]any{"name": u.Name, "incarnation": u.Incarnation, "sequence": u.Sequence}
	for {
		err := a.try(ctx, "/v1/upstreams/leave", body, nil)
		if err == nil {
			return nil
		}
		if timer.Sleep(ctx, a.options.Timer, 100*time.Millisecond) != nil {
			return err
		}
	}
}

// next returns the announcement with the next sequence.
func (a *Announcer) next() Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.options.LoadedModel != nil {
		a.replace(a.options.LoadedModel())
	}
	a.upstream.Sequence++
	if a.options.Load != nil {
		a.upstream.Load = a.options.Load()
		a.upstream.Load.Sequence = a.upstream.Sequence
	}
	return a.upstream
}

// replace begins a new incarnation if the model or version has changed.
func (a *Announcer) replace(model, version string) {
	u := &a.upstream
	if u.Model == model && u.Version == version {
		return
	}
	u.Model, u.Version, u.Sequence = model, version, 0
	u.Incarnation = max(u.Incarnation+1, uint64(a.options.Timer.Wall().UnixMicro()))
}

// targets lists the configured entries first, then those learned from replies.
func (a *Announcer) targets() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := slices.Clone(a.options.Entries)
	for _, k := range a.known {
		if !slices.Contains(all, k) {
			all = append(all, k)
		}
	}
	return all
}

func (a *Announcer) try(ctx context.Context, path string, body, reply any) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, path)
		}
	}()
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	err = errors.New("no entry is known")
	for _, t := range a.targets() {
		if err = a.post(ctx, "http://"+t+path, text, reply); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (a *Announcer) post(ctx context.Context, url string, text []byte, reply any) (err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+a.options.Token)
	response, err := a.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return errors.Newf("%s: status %d: %.200s", url, response.StatusCode, body)
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(body, reply)
}
