// Package announce registers simulated services with the entries: it announces them
// periodically and deregisters them at the end.
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

// Load is the load that a service reports.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Slots is the number of requests that can run at once.
	Slots int `json:"slots"`
	// Tokens is the number of tokens that running and waiting requests still need.
	Tokens int `json:"tokens"`
	// Sequence orders the reports of one incarnation.
	Sequence uint64 `json:"sequence"`
}

// Announcement is the body of an announcement.
type Announcement struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
	Address  string `json:"address"`
	Service  string `json:"service"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Zone     string `json:"zone"`
	// Fencing states that the upstream rejects orders with a stale fencing token.
	Fencing bool `json:"fencing"`
	// LeaseMillis is the time after which the registration expires unless it is renewed.
	LeaseMillis int `json:"lease"`
	// Features lists optional features, such as "resume".
	Features []string `json:"features"`
	Load     Load     `json:"load"`
}

// Options configures an announcer.
type Options struct {
	// Announcement is the announced upstream; the announcer sets Incarnation, Sequence and Load.
	Announcement Announcement
	// Entries are the initial addresses of entries; replies add further ones.
	Entries []string
	Token   string
	Timer   timer.Service
	Log     *zap.Logger
	// LoadedModel returns the current model and version. A change since the last announcement
	// starts a new incarnation. It may be nil.
	LoadedModel func() (model, version string)
	// Load returns the current load; if nil, no load is reported.
	Load func() Load
}

// Announcer announces one upstream to the entries.
type Announcer struct {
	options Options
	client  *http.Client

	mu             sync.Mutex
	current        Announcement
	learnedEntries []string
	interval       time.Duration
}

// transport is shared because one process may run hundreds of announcers.
var transport = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}

// New returns an announcer with a new incarnation.
func New(o Options) *Announcer {
	u := o.Announcement
	// The incarnation must increase across process restarts, so it is taken from the wall clock.
	u.Incarnation = uint64(o.Timer.Wall().UnixMicro())
	if u.LeaseMillis == 0 {
		u.LeaseMillis = 5000
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Announcer{
		options: o, current: u, interval: time.Second,
		client: &http.Client{Timeout: time.Second, Transport: transport},
	}
}

// Run announces until the context is done.
func (a *Announcer) Run(ctx context.Context) error {
	for {
		delay := a.interval
		if err := a.Announce(ctx); err != nil && ctx.Err() == nil {
			a.options.Log.Warn("announcement failed", zap.Error(err))
			// Retry soon, because an unregistered service receives no requests.
			delay = min(delay, 200*time.Millisecond)
		}
		if err := timer.Sleep(ctx, a.options.Timer, delay); err != nil {
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
	body := a.nextAnnouncement()
	if err := a.postToAny(ctx, "/v1/upstreams/announce", body, &reply); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply.Interval > 0 {
		a.interval = time.Duration(reply.Interval) * time.Millisecond
	}
	a.learnedEntries = a.learnedEntries[:0]
	for _, e := range reply.Entries {
		a.learnedEntries = append(a.learnedEntries, e.Address)
	}
	return nil
}

// Deregister ends the registration. It retries until an entry accepts or the context is done.
func (a *Announcer) Deregister(ctx context.Context) error {
	u := a.nextAnnouncement()
	body := map[string]any{"name": u.Name, "incarnation": u.Incarnation, "sequence": u.Sequence}
	for {
		err := a.postToAny(ctx, "/v1/upstreams/leave", body, nil)
		if err == nil {
			return nil
		}
		if timer.Sleep(ctx, a.options.Timer, 100*time.Millisecond) != nil {
			return err
		}
	}
}

// nextAnnouncement returns the announcement with the next sequence number.
func (a *Announcer) nextAnnouncement() Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.options.LoadedModel != nil {
		a.updateModel(a.options.LoadedModel())
	}
	a.current.Sequence++
	if a.options.Load != nil {
		a.current.Load = a.options.Load()
		a.current.Load.Sequence = a.current.Sequence
	}
	return a.current
}

// updateModel starts a new incarnation if the model or version has changed.
func (a *Announcer) updateModel(model, version string) {
	u := &a.current
	if u.Model == model && u.Version == version {
		return
	}
	u.Model, u.Version, u.Sequence = model, version, 0
	u.Incarnation = max(u.Incarnation+1, uint64(a.options.Timer.Wall().UnixMicro()))
}

// entryAddresses returns the configured entries, followed by those learned from replies.
func (a *Announcer) entryAddresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	addresses := slices.Clone(a.options.Entries)
	for _, e := range a.learnedEntries {
		if !slices.Contains(addresses, e) {
			addresses = append(addresses, e)
		}
	}
	return addresses
}

// postToAny posts body to the entries in turn until one accepts it.
func (a *Announcer) postToAny(ctx context.Context, path string, body, reply any) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, path)
		}
	}()
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	err = errors.New("no entry address is known")
	for _, address := range a.entryAddresses() {
		if err = a.post(ctx, "http://"+address+path, content, reply); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// post sends content to a URL and decodes the response into reply, which may be nil.
func (a *Announcer) post(ctx context.Context, url string, content []byte, reply any) (err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(content))
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
