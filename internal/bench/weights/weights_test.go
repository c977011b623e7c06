package weights

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Concurrent readers must share the bandwidth; each must not get the full rate.
func TestSharedBandwidth(t *testing.T) {
	is := is.New(t)
	clock := timer.NewSystem()
	mux := http.NewServeMux()
	New(Options{SizeBytes: 2 * chunkBytes, BytesPerSecond: 40 * chunkBytes, Timer: clock}).Register(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	begin := clock.Now()
	g := group.New(context.Background())
	ended := make(chan error, 3)
	for range 3 {
		g.Go("reader", func(ctx context.Context) error {
			ended <- Client{BaseURL: server.URL}.Fetch(ctx, "small", "1")
			return nil
		})
	}
	for range 3 {
		is.NoErr(<-ended)
	}
	is.NoErr(g.Stop())
	// Six chunks at forty per second take 150 ms.
	is.True(clock.Now().Sub(begin) >= 150*time.Millisecond)
}
