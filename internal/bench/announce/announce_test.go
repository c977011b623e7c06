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

// fakeEntry records the announcements and deregistrations that it receives.
type fakeEntry struct {
	mu           sync.Mutex
	announced    []Announcement
	deregistered []Announcement
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var u Announcement
	_ = json.NewDecoder(r.Body).Decode(&u)
	e.mu.Lock()
	defer e.mu.Unlock()
	if strings.HasSuffix(r.URL.Path, "/leave") {
		e.deregistered = append(e.deregistered, u)
	} else {
		e.announced = append(e.announced, u)
	}
	_, _ = io.WriteString(w, `{"lease":5000,"interval":20,"entries":[]}`)
}

func (e *fakeEntry) counts() (announced, deregistered int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.announced), len(e.deregistered)
}

// A host must announce itself when its first entry is down, deregister when it stops,
// and finish the request that is running at that time.
func TestHostStops(t *testing.T) {
	is := is.New(t)
	e := &fakeEntry{}
	s := httptest.NewServer(e)
	defer s.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	clock := timer.NewSystem()
	started := make(chan struct{})
	slowHandler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
	})
	h := &Host{
		Listener: l, Handler: slowHandler, Timer: clock, GracePeriod: 10 * time.Millisecond,
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
	for announced := 0; announced < 2; announced, _ = e.counts() {
		time.Sleep(time.Millisecond)
	}
	response := make(chan string, 1)
	g.Go("caller", func(context.Context) error {
		r, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			return err
		}
		defer r.Body.Close()
		body, err := io.ReadAll(r.Body)
		response <- string(body)
		return err
	})
	<-started
	cancel()
	is.Equal(<-response, "done")
	is.NoErr(<-ended)
	is.NoErr(g.Stop())
	_, deregistered := e.counts()
	is.Equal(deregistered, 1)
	is.True(e.deregistered[0].Sequence > e.announced[len(e.announced)-1].Sequence)
	is.Equal(e.deregistered[0].Incarnation, e.announced[0].Incarnation)
}

// Announcing another version must start a new incarnation: entries may still send
// requests for the former version to the former incarnation.
func TestNewVersionIsNewIncarnation(t *testing.T) {
	is := is.New(t)
	version := "1"
	a := New(Options{
		Announcement: Announcement{Model: "small", Version: "1"}, Timer: timer.NewManual(),
		LoadedModel: func() (string, string) { return "small", version },
	})
	first, second := a.nextAnnouncement(), a.nextAnnouncement()
	is.Equal(second.Incarnation, first.Incarnation)
	version = "2"
	third := a.nextAnnouncement()
	is.Equal(third.Version, "2")
	is.True(third.Incarnation > first.Incarnation)
	is.Equal(third.Sequence, uint64(1))
	is.Equal(a.nextAnnouncement().Incarnation, third.Incarnation)
}
