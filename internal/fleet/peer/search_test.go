package peer

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"wisteriakeel.example/wisteriakeel/internal/fleet/relay"
	"wisteriakeel.example/wisteriakeel/internal/kernel/tcp"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// leaseDuration is how long an instance uses its layout without an answer of a leader, with
	// the default bounds of the platform.
	leaseDuration = 4 * time.Second
	// readLimit is how long the platform lets a confirmed read take.
	readLimit = 900 * time.Millisecond
	// operatorTimeout is how long the platform lets a change take.
	operatorTimeout = 1800 * time.Millisecond
	// searchRate is the number of polls per second that an instance may make while no leader answers.
	searchRate = 4
	// maxRedirects bounds the polls in a second to instances that name each other, and maxDenials
	// those to one that says it does not lead.
	maxRedirects = 50
	maxDenials   = 15
	// electionTime is the time until a new leader serves calls, one failed election included.
	electionTime = 2 * time.Second
)

// Guards against an instance that polls a lost former leader for ever, since its replica can't
// learn of another one: what the replica believes must not outlive a failed call.
func TestOutdatedLocalLeader(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	n.add("a", "b", "c")
	n.leader = "a"
	members := []string{"a", "b", "c"}
	c := n.startClient(t, Options{Seeds: []Address{"a", "b"}, KnownLeader: func() (string, []string) { return "a", members }})
	n.awaitPoll(t, leaseDuration)
	n.silence("a")
	n.change(func() { n.leader = "c" })
	n.awaitPoll(t, leaseDuration)
	n.change(func() { n.longestGap = 0 })
	time.Sleep(2 * time.Second)
	n.mu.Lock()
	gap := max(n.longestGap, time.Since(n.lastServed))
	n.mu.Unlock()
	is.True(gap < 1200*time.Millisecond) // it stays with the leader that answers
	is.Equal((&Server{Client: c}).leaderInfo().GetLeader(), "c")
}

// Guards against calls that take the leader away from the other calls of an instance while they
// wait for each other: proposals take seconds, and reads must not wait for them.
func TestReadsDuringProposals(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	n.add("a", "b")
	n.leader, n.proposeTime = "a", 2*time.Second
	c := n.startClient(t, Options{Seeds: []Address{"a", "b"}})
	n.awaitPoll(t, leaseDuration)
	proposals := &proposer{client: c, errs: make(chan error, 2)}
	for range cap(proposals.errs) {
		go proposals.run()
	}
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
		ctx, cancel := context.WithTimeout(context.Background(), readLimit)
		_, err := c.Read(ctx)
		cancel()
		is.NoErr(err)
		is.Equal(c.finder.leaderAddress(), Address("a"))
		time.Sleep(20 * time.Millisecond)
	}
	for range cap(proposals.errs) {
		is.NoErr(<-proposals.errs)
	}
}

type proposer struct {
	client *Client
	errs   chan error
}

func (p *proposer) run() {
	ctx, cancel := context.WithTimeout(context.Background(), leaseDuration)
	defer cancel()
	_, err := p.client.Propose(ctx, &wire.Command{})
	p.errs <- err
}

// Guards against a search that asks lost hosts one after the other: with 2 of 8 (1 of 3)
// replicas and all seeds but one lost, an instance must find the next leader before its lease on
// the layout ends, and reads must be served as soon as it has.
func TestSearchAmongSilentHosts(t *testing.T) {
	for _, c := range []struct {
		name     string
		replicas []string
		silent   []string
		seeds    []Address
		next     string
	}{
		{"leader of three", []string{"a", "b", "c"}, []string{"a"}, []Address{"x", "y", "c"}, "c"},
		{"leader of eight and its successor in the list", []string{"a", "b", "c", "d", "e", "f", "g", "h"}, []string{"a", "b"}, []Address{"x", "y", "h"}, "h"},
		{"leader of eight and two learners left behind", []string{"a", "b", "c", "d", "e", "f", "g", "h", "v", "w"}, []string{"a", "h"}, []Address{"x", "y", "z"}, "g"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			n := newNetwork(t)
			for _, r := range c.replicas {
				if r < "v" {
					n.add(r)
				}
			}
			for _, i := range n.instances {
				i.members = c.replicas
			}
			n.leader = "a"
			cl := n.startClient(t, Options{Seeds: append([]Address{"a"}, c.seeds...)})
			n.awaitPoll(t, leaseDuration)
			n.awaitPoll(t, leaseDuration)
			lost := time.Now()
			n.silence(c.silent...)
			n.change(func() { n.leader = "" })
			time.Sleep(electionTime)
			n.change(func() { n.leader = c.next })
			elected := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), readLimit)
			defer cancel()
			_, err := cl.Read(ctx)
			t.Log("read after", time.Since(elected), err)
			n.awaitPoll(t, leaseDuration)
			t.Log("leader found", time.Since(elected), "after its election")
			is.NoErr(err)
			// Polls are sent pollWait before a leader answers them.
			is.True(time.Since(lost)+pollWait < leaseDuration)
		})
	}
}

// Guards against idle connections that have gone silent and are used all the same: each costs a
// search the time of a lost host, and a proposal most of the time for its acknowledgement.
func TestSilentIdleConnections(t *testing.T) {
	replicas := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	start := func(t *testing.T) (*network, *Client) {
		n := newNetwork(t)
		n.add(replicas...)
		for _, i := range n.instances {
			i.members = replicas
		}
		n.leader = "a"
		c := n.startClient(t, Options{Seeds: []Address{"a", "b", "c"}})
		n.awaitPoll(t, leaseDuration)
		for _, r := range replicas[1:] {
			_, err := call(t.Context(), c.connections, Address(r), classPoll, time.Second, func(ctx context.Context, l wire.DRPCFleetClient) (*wire.SyncReply, error) {
				return l.Sync(ctx, &wire.SyncRequest{})
			})
			is.New(t).NoErr(err)
		}
		_, err := c.Propose(t.Context(), &wire.Command{})
		is.New(t).NoErr(err)
		time.Sleep(tcp.MaxIdle + 200*time.Millisecond)
		return n, c
	}
	for _, next := range replicas[2:] {
		t.Run("search for "+next, func(t *testing.T) {
			t.Parallel()
			n, _ := start(t)
			lost := time.Now()
			n.loseConnections()
			n.silence("a", "b")
			n.change(func() { n.leader = "" })
			time.Sleep(700 * time.Millisecond)
			n.change(func() { n.leader = next })
			n.awaitPoll(t, leaseDuration)
			t.Log(time.Since(lost))
			is.New(t).True(time.Since(lost)+pollWait < leaseDuration)
		})
	}
	t.Run("proposal", func(t *testing.T) {
		t.Parallel()
		n, c := start(t)
		n.loseConnections()
		ctx, cancel := context.WithTimeout(t.Context(), operatorTimeout)
		defer cancel()
		_, err := c.Propose(ctx, &wire.Command{})
		is.New(t).NoErr(err)
	})
}

// Guards against a lost parent in the tree for layouts that is asked again for each version.
func TestLostSource(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	n.add("a", "b", "c")
	for _, i := range n.instances {
		i.members = []string{"a", "b", "c"}
	}
	n.leader = "c"
	n.records = []*wire.Instance{
		{Name: "a", Peer: "a", Identity: "a"}, {Name: "b", Peer: "b", Identity: "b"}, {Name: "c", Peer: "c", Identity: "c"},
	}
	n.silence("a")
	publish := func(version uint64) {
		l, err := relay.Pack(version, []byte("text"))
		is.NoErr(err)
		text, err := relay.Unpack(l)
		is.NoErr(err)
		n.layouts.Put(text)
		n.change(func() { n.digest = l.GetDigest() })
	}
	publish(1)
	c := n.startClient(t, Options{Seeds: []Address{"c"}})
	asked := func() (dials int) {
		n.change(func() { dials = n.dials["a"] })
		return dials
	}
	awaitVersion := func(version uint64) {
		for start := time.Now(); c.options.View.Layout() == nil || uint64(c.options.View.Layout().Version) < version; {
			is.True(time.Since(start) < leaseDuration)
			time.Sleep(5 * time.Millisecond)
		}
	}
	awaitVersion(1)
	is.Equal(asked(), 1) // the parent, for the first version
	for version := uint64(2); version < 5; version++ {
		publish(version)
		awaitVersion(version)
	}
	is.Equal(asked(), 1)
}

// Guards against an instance that turns away from a leader that answers late, for want of
// processor time, and against a storm of calls to the others then.
func TestSlowLeader(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	n.add("a", "b", "c")
	n.leader, n.pollTime = "a", 600*time.Millisecond
	n.startClient(t, Options{Seeds: []Address{"a", "b", "c"}})
	n.awaitPoll(t, leaseDuration)
	n.change(func() { clear(n.calls); n.longestGap = 0 })
	time.Sleep(3 * time.Second)
	n.mu.Lock()
	defer n.mu.Unlock()
	is.True(max(n.longestGap, time.Since(n.lastServed)) < leaseDuration/2)
	is.True(n.calls["b"]+n.calls["c"] <= 3*searchRate)
}

// Guards against two instances that name each other as the leader and are asked in turn without
// a pause, while the leader is not asked.
func TestRedirectLoop(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	n.add("a", "b", "c")
	n.instances["a"].names, n.instances["b"].names = "b", "a"
	n.leader = ""
	n.startClient(t, Options{Seeds: []Address{"a", "b", "c"}})
	time.Sleep(time.Second)
	n.change(func() {
		calls := n.calls["a"] + n.calls["b"]
		is.True(calls <= maxRedirects)
		n.leader = "c"
	})
	n.awaitPoll(t, time.Second)
}

// Guards against an instance that does not return soon to a leader that was elected and was not
// ready yet, and against one that asks it without a pause meanwhile.
func TestLeaderNotReady(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	n.add("a", "b", "c")
	for _, i := range n.instances {
		i.names = "a"
	}
	n.startClient(t, Options{Seeds: []Address{"a", "b"}, KnownLeader: func() (string, []string) { return "a", []string{"a", "b", "c"} }})
	time.Sleep(time.Second)
	n.change(func() {
		is.True(n.calls["a"] <= maxDenials)
		n.leader = "a"
	})
	n.awaitPoll(t, time.Second)
}

// Guards against seeds that hear of the leader late because it waits for lost seeds first.
func TestAnnounceAmongSilentSeeds(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	n.add("s")
	n.leader = "s"
	var seeds []Address
	for i := range 4 {
		seeds = append(seeds, Address("lost"+strconv.Itoa(i)))
	}
	c := n.startClient(t, Options{Seeds: append(seeds, "s"), KnownLeader: func() (string, []string) { return "lost0", nil }})
	start := time.Now()
	c.AnnounceToSeeds(context.Background(), func(Address) bool { return false })
	is.True(time.Since(start) < 2*requestTimeout)
}

// Guards against logs that don't tell whether no leader is elected, this instance does not reach
// it, or a call waited for others of this instance; and against more than one line an outage.
func TestOutageIsLogged(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	n.add("a", "b", "c")
	n.leader, n.proposeTime = "a", time.Second
	core, logs := observer.New(zap.InfoLevel)
	c := n.startClient(t, Options{Seeds: []Address{"a", "b", "c"}, Log: zap.New(core)})
	n.awaitPoll(t, leaseDuration)

	// All connections for proposals are in use.
	proposals := &proposer{client: c, errs: make(chan error, operatorConnections+1)}
	for range operatorConnections {
		go proposals.run()
	}
	time.Sleep(proposalsStart)
	ctx, cancel := context.WithTimeout(context.Background(), proposalsStart)
	defer cancel()
	_, err := c.Propose(ctx, &wire.Command{})
	is.True(errors.Is(err, ErrUnavailable))
	is.True(strings.Contains(err.Error(), "waited for other calls of this instance"))
	for range operatorConnections {
		is.NoErr(<-proposals.errs)
	}

	n.silence("a")
	n.change(func() {
		n.leader = ""
		n.instances["c"].names = "a"
	})
	time.Sleep(warnDelay + pollTimeout)
	ctx, cancel = context.WithTimeout(context.Background(), proposalsStart)
	defer cancel()
	_, err = c.Read(ctx)
	is.True(errors.Is(err, ErrUnavailable))
	n.change(func() { n.leader = "b" })
	n.awaitPoll(t, leaseDuration)
	// The line is written after the reply has been applied, which awaitPoll waits for.
	for deadline := time.Now().Add(leaseDuration); logs.Len() < 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	lines := logs.All()
	is.Equal(len(lines), 2)
	is.Equal(lines[0].Message, "no leader answers")
	asked := fmt.Sprint(lines[0].ContextMap()["asked"])
	for _, part := range []string{"a ", "b ", "c ", "does not lead, names no leader", "does not lead, names a"} {
		is.True(strings.Contains(asked, part))
	}
	is.Equal(lines[1].Message, "leader found")
}

// proposalsStart is enough for all proposals to take their connections, and less than they last.
const proposalsStart = 200 * time.Millisecond

// Guards against searches of many instances that take processor time from the replicas while there
// is no majority for long, and against ones that find the leader late then.
func TestLongOutage(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	n.add("a", "b", "c")
	n.leader = "a"
	n.startClient(t, Options{Seeds: []Address{"a", "b", "c"}})
	n.awaitPoll(t, leaseDuration)
	n.silence("a")
	n.change(func() { n.leader = "" })
	time.Sleep(longOutage + pollTimeout)
	n.change(func() { clear(n.calls) })
	time.Sleep(3 * time.Second)
	n.change(func() {
		t.Log("polls answered in 3 s:", n.calls["b"]+n.calls["c"])
		is.True(n.calls["b"]+n.calls["c"] <= 3*searchRate)
		n.leader = "c"
	})
	n.awaitPoll(t, contactLimit)
}

// contactLimit is the time in which an instance must be in contact again once it can be.
const contactLimit = 3 * time.Second
