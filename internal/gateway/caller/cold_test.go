package caller

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Guards against more requests to a cold upstream than it takes from all instances together, against cold upstreams
// that get none, and against requests that are held or fail where all upstreams are cold.
func TestColdUpstreams(t *testing.T) {
	const (
		instances = 3
		allowed   = 20 // 10 a second (warmupVersion) x 1.5 + 5
		load      = 30 * time.Millisecond
		played    = 2 * time.Second
	)
	for _, c := range []struct {
		name       string
		cold, warm int
	}{
		{"some", 2, 2},
		{"all", 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var list []*limitingUpstream
			var desk []*upstreamtest.Server
			for range c.cold + c.warm {
				u := &limitingUpstream{}
				u.server = startUpstream(t, u.handle)
				list, desk = append(list, u), append(desk, u.server)
			}
			var fixtures []*fixture
			for range instances {
				f := newFixture(t, desk, nil)
				f.NoErr(f.view.ApplyLayout(warmupVersion, nil))
				fixtures = append(fixtures, f)
			}
			linkLeader(fixtures...)
			f := fixtures[0]
			for i := range c.cold {
				f.view.ApplyAnnouncement(&wire.Upstream{
					Id: "desk" + strconv.Itoa(i), Born: 1, Sequence: 2, Address: desk[i].Address(), Service: "desk", Version: "v1", Slots: 4, Cold: 10_000,
				})
			}
			time.Sleep(200 * time.Millisecond) // until all instances know
			start := time.Now()
			var mu sync.Mutex
			var running sync.WaitGroup
			served, refused := 0, 0
			for n := 0; time.Since(start) < played; n++ {
				running.Go(func() {
					r := fixtures[n%instances].do("GET", "/look/"+strconv.Itoa(n), "", "Request-Id", "r"+strconv.Itoa(n))
					mu.Lock()
					defer mu.Unlock()
					if r.status == http.StatusOK {
						served++
						return
					}
					refused++
					f.Equal(r.status, http.StatusServiceUnavailable)
					f.True(strings.Contains(r.body, "cold upstreams take no more") && r.header.Get("Retry-After") != "")
				})
				time.Sleep(load)
			}
			running.Wait()
			total := 0
			for _, u := range list[:c.cold] {
				most, n := u.most(time.Second, start), u.arrivals(start)
				t.Logf("at most %d requests in a second, %d in all; %d served, %d refused", most, n, served, refused)
				f.True(most <= allowed)
				total += n
			}
			f.True(total > 0)
			f.True(refused == 0 || c.warm == 0)
		})
	}
}
