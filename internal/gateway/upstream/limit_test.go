package upstream

import (
	"context"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/gateway/connlimit"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// newLimitedClient returns the client of one of several instances before an upstream with a limit, 0 for none.
func newLimitedClient(limit, instance, instances int) *Client {
	return New(Options{Protocol: testProtocol, Timer: timer.NewSystem(), Log: zap.NewNop(), Scope: func(string) connlimit.Scope {
		return connlimit.Scope{Limit: limit, Instance: instance, Instances: instances, Slots: 4}
	}})
}

// slowEcho answers after a time.
func slowEcho(e *upstreamtest.Exchange) bool {
	time.Sleep(5 * time.Millisecond)
	e.Write(response(e.Request.Header.Get("Request-Id"), "x"))
	return true
}

// Guards against instances that together open more connections than the upstream accepts. The second row shows
// that they would without the limit.
func TestConnectionLimit(t *testing.T) {
	const instances, senders, accepted = 4, 4, 16
	for _, c := range []struct {
		name   string
		limit  int
		resets bool
	}{{"limit", accepted, false}, {"no limit", 0, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := startUpstream(t, slowEcho)
			u.LimitConnections(accepted)
			var wg sync.WaitGroup
			var mu sync.Mutex
			served, sent := 0, 0
			for i := range instances {
				client := newLimitedClient(c.limit, i, instances)
				for j := range senders {
					wg.Go(func() {
						for k := range 20 {
							q := newRequest(strconv.Itoa(i) + "-" + strconv.Itoa(j) + "-" + strconv.Itoa(k))
							q.NewConnection = k%4 > 0
							_, err := send(client, u.Address(), q)
							mu.Lock()
							sent++
							if err == nil {
								served++
							} else if c.limit > 0 && !errors.Is(err, ErrNoPlace) {
								t.Error(err)
							}
							mu.Unlock()
						}
					})
				}
			}
			wg.Wait()
			most, resets := u.Connections()
			t.Logf("%d of %d served, %d connections at most, %d reset", served, sent, most, resets)
			is.Equal(resets > 0, c.resets)
			is.True(c.limit == 0 || served > sent/2)
		})
	}
}

// Guards against a request that counts as sent although its connection was reset before, against a look that
// takes its whole time although the reset has arrived, and against one that makes a sound connection unusable.
func TestResetBeyondLimit(t *testing.T) {
	const long = 5 * time.Second
	is := is.New(t)
	u := startUpstream(t, slowEcho)
	client, target := newLimitedClient(100, 0, 1), Target{Address: u.Address()}
	look := func(d time.Duration) (*conn, bool) {
		l, err := client.pool.tryAcquire(target)
		is.NoErr(err)
		cn, err := client.connector.dial(context.Background(), l)
		if errors.Is(err, ErrClosedUnused) {
			return nil, false
		}
		is.NoErr(err)
		return cn, cn.awaitAcceptance(client.timer, d)
	}
	cn, accepted := look(time.Millisecond)
	is.True(accepted)
	client.pool.put(u.Address(), cn, time.Minute)
	_, err := send(client, u.Address(), newRequest("a"))
	is.NoErr(err)
	client.pool.closeAll()
	time.Sleep(20 * time.Millisecond) // until the upstream has closed it

	u.LimitConnections(0)
	begin := time.Now()
	cn, accepted = look(long)
	is.True(!accepted && time.Since(begin) < long)
	if cn != nil {
		discard(cn)
	}
	q := newRequest("b")
	q.NewConnection = true
	q.BeforeSend = func() error {
		time.Sleep(100 * time.Millisecond) // until the reset arrives
		return nil
	}
	_, err = send(client, u.Address(), q)
	is.True(errors.Is(err, ErrNotSent) && errors.Is(err, ErrClosedUnused))
	is.Equal(len(u.Requests()), 1)
	is.Equal(client.pool.ledger.Open(u.Address()), 0)
}

// Guards against a request that may not be repeated and is written before it was looked for a reset. The time of
// the look does not pass.
func TestLookBeforeSending(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	client := newLimitedClient(100, 0, 1)
	client.timer = timer.NewManual()
	q := newRequest("a")
	q.NewConnection = true
	result := make(chan error, 1)
	go func() {
		_, err := client.Send(context.Background(), Target{Address: l.Addr().String()}, q)
		result <- err
	}()
	c, err := l.Accept()
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // in which a request would be written
	is.NoErr(c.(*net.TCPConn).SetLinger(0))
	is.NoErr(c.Close())
	err = <-result
	is.True(errors.Is(err, ErrNotSent) && errors.Is(err, ErrClosedUnused))
}

// Guards against probes and connections for other instances beyond the share, and against places
// that are not given back.
func TestShareOfProbes(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t, slowEcho)
	client, target := newLimitedClient(2, 0, 1), Target{Address: u.Address()} // one connection
	foreign, err := client.DialForOther(context.Background(), target)
	is.NoErr(err)
	is.True(client.AcceptsConnections(context.Background(), target))
	_, err = client.DialForOther(context.Background(), target)
	is.True(errors.Is(err, ErrNoPlace))
	_, err = send(client, u.Address(), newRequest("a"))
	is.True(errors.Is(err, ErrNotSent) && errors.Is(err, ErrNoPlace))
	most, _ := u.Connections()
	is.Equal(most, 1)
	is.NoErr(foreign.Close())
	is.True(client.MayConnect(target, true))
	_, err = send(client, u.Address(), newRequest("a"))
	is.NoErr(err)
}
