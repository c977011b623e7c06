package outage

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/bench/soak"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	upstreamsPerService = 2
	upstreamSlots       = 64
	announceInterval    = time.Second
	// firstUpstreamAddress is the last number of the address of the first upstream. Those of instances are lower.
	firstUpstreamAddress = 220
)

// upstream answers requests with the name of its service, and announces itself to random instances.
type upstream struct {
	*run
	id, service, zone string
	random            *rand.Rand
	listener          net.Listener
	started           time.Time
}

// startUpstreams starts the upstreams of all services.
func (r *run) startUpstreams(ctx context.Context) error {
	services := []string{soak.DeskService, leftService, rightService, slowService, guestService}
	for i := range upstreamsPerService * len(services) {
		u := &upstream{
			run: r, id: fmt.Sprint("upstream-", i+1), service: services[i%len(services)], zone: fmt.Sprint("zone-", i%r.Size.Zones),
			random: rand.New(rand.NewPCG(r.Seed, uint64(300+i))), started: r.Timer.Wall(),
		}
		var err error
		if u.listener, err = (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort(r.address(firstUpstreamAddress+i), "0")); err != nil {
			return err
		}
		r.group.Go("upstream", (&upstreamServer{u, &http.Server{Handler: u, ReadHeaderTimeout: readTimeout}}).loop)
		r.group.Go("announcer", u.loop)
	}
	return nil
}

// upstreamServer serves the requests of an upstream.
type upstreamServer struct {
	*upstream
	server *http.Server
}

func (s *upstreamServer) loop(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = s.server.Close() })()
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// loop announces the upstream at regular intervals.
func (u *upstream) loop(ctx context.Context) error {
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		u.announce(ctx, sequence)
		_ = timer.Sleep(ctx, u.Timer, announceInterval)
	}
	return nil
}

// announce sends one announcement to random instances until one accepts it, four at most.
func (u *upstream) announce(ctx context.Context, sequence uint64) {
	for range 4 {
		q, err := u.Dialect.AnnounceRequest(u.up(u.random).ip, soak.Announcement{
			ID: u.id, Service: u.service, Address: u.listener.Addr().String(), Zone: u.zone, Slots: upstreamSlots, Incarnation: u.started, Sequence: sequence,
		})
		if err != nil {
			u.violation("announcement", "%v", err)
			return
		}
		if status, _, err := u.send(ctx, q, announceInterval); ctx.Err() != nil || err == nil && status == http.StatusOK {
			return
		}
	}
	u.count("announcements not accepted")
}

// ServeHTTP answers a request and checks that its instance may have sent it here.
func (u *upstream) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	names := u.Dialect.Protocol()
	id := q.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if expected := q.Header.Get(names.ExpectedUpstream); expected != "" && expected != u.id {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.recordRun(id, outcome{service: u.service, account: q.Header.Get(names.Account)})
	if strings.HasPrefix(q.URL.Path, slowPath) && timer.Sleep(q.Context(), u.Timer, slowAnswer) != nil {
		return
	}
	w.Header().Set(names.Signature, "s-"+id)
	_, _ = io.WriteString(w, u.service)
}
