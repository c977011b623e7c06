package announce

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// entry records the announcements that it gets.
type entry struct {
	mu    sync.Mutex
	heard []Announcement
	left  []Announcement
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var u Announcement
	_ = json.NewDecoder(r.Body).Decode(&u)
	e.mu.Lock()
	defer e.mu.Unlock()
	if strings.HasSuffix(r.URL.Path, "/leave") {
		e.left = append(e.left, u)
	} else {
		e.heard = append(e.heard, u)
	}
	_, _ = io.WriteString(w, `{"lease":5000,"interval":20,"entries":[]}`)
}

func (e *entry) counts() (heard, left int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.heard), len(e.left)
}

// Guards against a service that depends on its first entry, goes without
// leaving, or cuts a request that runs while it goes.
func TestHostLeaves(t *testing.T) {
	is := is.New(t)
	e := &entry{}
	s := httptest.NewServer(e)
	defer s.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	clock := timer.NewSystem()
	begun := make(chan struct{})
	slow := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
	})
	h := &Host{
		Listener: l, Handler: slow, Timer: clock, GracePeriod: 10 * time.Millisecond,
		Announcer: New(Options{
			Announcement: Announcement{Name: "u", Address: l.Addr().String()}, Timer: clock,
			Entries: []string{"127.0.0.1:1", strings.TrimPrefix(s.URL, "http://")},
		}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := group.New(context.Background())
	ended := make(chan error, 1)
	g.Go("host", func(context.Context) error {
		ended <- h.Run(ctx)
		return nil
	})
	for heard := 0; heard < 2; heard, _ = e.counts() {
		time.Sleep(time.Millisecond)
	}
	answer := make(chan string, 1)
	g.Go("caller", func(context.Context) error {
		r, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			return err
		}
		defer r.Body.Close()
		body, err := io.ReadAll(r.Body)
		answer <- string(body)
		return err
	})
	<-begun
	cancel()
	is.Equal(<-answer, "done")
	is.NoErr(<-ended)
	is.NoErr(g.Stop())
	_, left := e.counts()
	is.Equal(left, 1)
	is.True(e.left[0].Sequence > e.heard[len(e.heard)-1].Sequence)
	is.Equal(e.left[0].Incarnation, e.heard[0].Incarnation)
}

// Guards against a service that announces another version under the incarnation of the
// former one, which entries may still send work to.
func TestNewVersionIsNewIncarnation(t *testing.T) {
	is := is.New(t)
	version := "1"
	a := New(Options{
		Announcement: Announcement{Model: "small", Version: "1"}, Timer: timer.NewManual(),
		LoadedModel: func() (string, string) { return "small", version },
	})
	first, second := a.next(), a.next()
	is.Equal(second.Incarnation, first.Incarnation)
	version = "2"
	third := a.next()
	is.Equal(third.Version, "2")
	is.True(third.Incarnation > first.Incarnation)
	is.Equal(third.Sequence, uint64(1))
	is.Equal(a.next().Incarnation, third.Incarnation)
}
