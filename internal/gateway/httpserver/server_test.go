package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// fakeDrainer records when the phases of a shutdown began. Its number of running requests is fixed.
type fakeDrainer struct {
	timer   timer.Service
	running int64

	rejectedAt, waitingAt, answeredAt timer.Instant
}

func (d *fakeDrainer) Drain()         {}
func (d *fakeDrainer) RejectNew()     { d.rejectedAt = d.timer.Now() }
func (d *fakeDrainer) RejectWaiting() { d.waitingAt = d.timer.Now() }
func (d *fakeDrainer) AnswerAll()     { d.answeredAt = d.timer.Now() }
func (d *fakeDrainer) Running() int64 { return d.running }

// Guards against accepting a request more than 3 s after SIGTERM and cutting it off at the
// end of the grace period. Only earlier requests may be cut off. The time until the signal
// and the request are handled counts too.
func TestRejectsInTime(t *testing.T) {
	const bound, transit = 3 * time.Second, 50 * time.Millisecond
	for _, c := range []struct {
		name        string
		running     int64
		minDuration time.Duration
	}{
		{"idle", 0, minShutdown},
		{"requests that do not end", 3, 8*time.Second - exitReserve},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.AutoAdvancing{Manual: timer.NewManual()}
			clock.Advance(time.Hour)
			d := &fakeDrainer{timer: clock, running: c.running}
			s, err := New(Options{Drainer: d, Deregister: func() {}, GracePeriod: 8 * time.Second, Timer: clock, Log: zap.NewNop()})
			is.NoErr(err)
			start := clock.Now()
			ctx, stop := context.WithCancel(context.Background())
			stop()
			is.NoErr(s.Run(ctx))
			is.True(d.rejectedAt.Sub(start) <= bound-transit)
			is.True(d.rejectedAt.Sub(start) >= 2*time.Second) // callers refresh their list of instances within this time
			is.True(clock.Now().Sub(start) >= c.minDuration)
			is.True(clock.Now().Sub(start) < 8*time.Second)
		})
	}
}

// Guards against requests that are accepted, sent or kept so late in a short grace period that they are cut off
// without an answer.
func TestPhasesOfShutdown(t *testing.T) {
	for _, grace := range []time.Duration{400 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 8 * time.Second, 30 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			is := is.New(t)
			clock := timer.AutoAdvancing{Manual: timer.NewManual()}
			clock.Advance(time.Hour)
			d := &fakeDrainer{timer: clock, running: 1}
			s, err := New(Options{Drainer: d, Deregister: func() {}, GracePeriod: grace, Timer: clock, Log: zap.NewNop()})
			is.NoErr(err)
			start := clock.Now()
			ctx, stop := context.WithCancel(context.Background())
			stop()
			is.NoErr(s.Run(ctx))
			is.True(d.rejectedAt.Sub(start) <= grace/2)
			is.True(d.rejectedAt <= d.waitingAt && d.waitingAt <= d.answeredAt)
			is.True(d.answeredAt.Sub(start) < grace)
			is.True(clock.Now().Sub(start) < grace+pollInterval)
		})
	}
}

// Guards against a success that no upstream has sent: net/http answers OPTIONS * by itself.
func TestOptionsForServer(t *testing.T) {
	is := is.New(t)
	s, err := New(Options{
		Endpoints: []Endpoint{{Name: "callers", Address: freeAddress(t), Handler: http.NotFoundHandler()}}, Timer: timer.NewSystem(), Log: zap.NewNop(),
	})
	is.NoErr(err)
	e := s.endpoints[0]
	defer func() { _ = e.listener.Close() }()
	conn, err := net.Dial("tcp", e.listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	go func() { _ = e.serve(context.Background()) }()
	_, err = io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusNotFound)
}
