// Package weights simulates a weight store that limits its total rate.
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

// chunk is the number of bytes that are paid for at a time.
const chunk = 64 << 10

// Options configures a store.
type Options struct {
	// SizeBytes is the number of bytes of each version's weights.
	SizeBytes int
	// BytesPerSecond is the number of bytes per second that all readers share.
	BytesPerSecond int
	Timer          timer.Service
}

// Store is one simulated weight store.
type Store struct {
	options Options

	mu sync.Mutex
	// free is when the next chunk may be sent.
	free timer.Instant
}

// New returns a store.
func New(o Options) *Store { return &Store{options: o} }

// Register serves GET /v1/weights/{model}/{version}.
func (s *Store) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/weights/{model}/{version}", s.serve)
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", strconv.Itoa(s.options.SizeBytes))
	zero := make([]byte, chunk)
	for left := s.options.SizeBytes; left > 0; left -= chunk {
		n := min(left, chunk)
		if timer.Sleep(r.Context(), s.options.Timer, s.reserve(n)) != nil {
			return
		}
		if _, err := w.Write(zero[:n]); err != nil {
			return
		}
	}
}

// reserve takes the next slot of the shared rate and returns the wait for it.
func (s *Store) reserve(n int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Timer.Now()
	s.free = max(s.free, now).Add(time.Duration(float64(n) / float64(s.options.BytesPerSecond) * float64(time.Second)))
	return s.free.Sub(now)
}

// Client fetches weights from a store.
type Client struct {
	// BaseURL is the URL of the store.
	BaseURL string
}

// Fetch reads the weights of a version to their end.
func (c Client) Fetch(ctx context.Context, model, version string) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "weights of %s@%s", model, version)
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
