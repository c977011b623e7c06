// Package weights simulates a weight store whose total bandwidth is limited.
package weights

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// chunkBytes is the size of the chunks in which bandwidth is reserved.
const chunkBytes = 64 << 10

// Options configures a store.
type Options struct {
	// SizeBytes is the size of the weights of each model version.
	SizeBytes int
	// BytesPerSecond is the bandwidth that all readers share.
	BytesPerSecond int
	Timer          timer.Service
}

// Store is a simulated weight store.
type Store struct {
	options Options

	mu sync.Mutex
	// nextSend is the earliest time at which the next chunk may be sent.
	nextSend timer.Instant
}

// New returns a store.
func New(o Options) *Store { return &Store{options: o} }

// Register serves GET /v1/weights/{model}/{version}.
func (s *Store) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/weights/{model}/{version}", s.serve)
}

// serve sends zeros in place of weights, at the shared bandwidth.
func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", strconv.Itoa(s.options.SizeBytes))
	zero := make([]byte, chunkBytes)
	for remaining := s.options.SizeBytes; remaining > 0; remaining -= chunkBytes {
		n := min(remaining, chunkBytes)
		if timer.Sleep(r.Context(), s.options.Timer, s.reserve(n)) != nil {
			return
		}
		if _, err := w.Write(zero[:n]); err != nil {
			return
		}
	}
}

// reserve reserves bandwidth for n bytes and returns the time to wait before sending them.
func (s *Store) reserve(n int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Timer.Now()
	s.nextSend = max(s.nextSend, now).Add(time.Duration(float64(n) / float64(s.options.BytesPerSecond) * float64(time.Second)))
	return s.nextSend.Sub(now)
}

// Client fetches weights from a Store.
type Client struct {
	// BaseURL is the URL of the store.
	BaseURL string
}

// Fetch downloads and discards the weights of a model version.
func (c Client) Fetch(ctx context.Context, model, version string) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "fetch weights of %s@%s", model, version)
		}
	}()
	target := c.BaseURL + "/v1/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
