package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// foundingNetwork delivers the calls of candidates to seeds late, twice or not at all.
type foundingNetwork struct {
	mu     sync.Mutex
	random *rand.Rand
	seeds  []*foundingSeed
	lossy  bool
	ended  sync.WaitGroup
}

// foundingSeed is the part of a seed that permits the bootstrap.
type foundingSeed struct {
	up         bool
	secondLife bool
	permission permission
}

func (n *foundingNetwork) delay(limit time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.random.Int64N(int64(limit)))
}

// deliver lets a request arrive at a seed.
func (n *foundingNetwork) deliver(seed int, q *wire.FoundRequest) (*wire.FoundReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.seeds[seed]
	switch {
	case !s.up:
		return nil, errors.New("connection refused")
	case s.secondLife:
		return &wire.FoundReply{Counted: true}, nil
	}
	return s.permission.decide(q), nil
}

// call makes the call of a candidate. In a lossy network the caller may give up before the request arrives.
func (n *foundingNetwork) call(_ context.Context, seed Address, q *wire.FoundRequest) (*wire.FoundReply, error) {
	index := int(seed[0] - '0')
	time.Sleep(n.delay(5 * time.Millisecond))
	n.mu.Lock()
	kind := 3
	if n.lossy {
		kind = n.random.IntN(6)
	}
	n.mu.Unlock()
	switch kind {
	case 0: // the request arrives after the caller has given up
		late := requestTimeout + n.delay(4*time.Second)
		n.ended.Go(func() {
			time.Sleep(late)
			_, _ = n.deliver(index, q)
		})
	case 1: // the reply is lost
		_, _ = n.deliver(index, q)
	case 2: // the request is lost
	default:
		return n.deliver(index, q)
	}
	time.Sleep(requestTimeout)
	return nil, errors.New("no reply")
}

// Guards against two groups that are founded by two instances, and against a group that is never founded because one
// seed has lost its first life, in every order of starts, losses and messages.
func TestFounding(t *testing.T) {
	for _, seeds := range []int{1, 3, 5} {
		for seed := range uint64(200) {
			t.Run(fmt.Sprint(seeds, " seeds, seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					n := &foundingNetwork{random: rand.New(rand.NewPCG(seed, 9)), lossy: seed%2 == 1}
					var addresses []Address
					for i := range seeds {
						addresses = append(addresses, Address(fmt.Sprint(i)))
						n.seeds = append(n.seeds, &foundingSeed{})
					}
					ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
					defer cancel()
					n.startSeeds(seeds/2, seed%4 < 2)
					founded := make(chan string, 6)
					for i := range 6 {
						n.ended.Go(func() { n.propose(ctx, addresses, fmt.Sprint("candidate ", i), founded) })
					}
					time.Sleep(20 * time.Second)
					n.mu.Lock()
					n.lossy = false
					n.mu.Unlock()
					time.Sleep(30 * time.Second)
					cancel()
					n.ended.Wait()
					is.Equal(len(founded), 1)
				})
			})
		}
	}
}

// startSeeds starts the seeds within 0.3 s. Of three or more, some may lose their first life early, as many as leave a
// majority.
func (n *foundingNetwork) startSeeds(losses int, lose bool) {
	for i, s := range n.seeds {
		n.ended.Go(func() {
			time.Sleep(n.delay(300 * time.Millisecond))
			n.setSeed(s, true, false)
			if !lose || i >= losses {
				return
			}
			time.Sleep(n.delay(500 * time.Millisecond))
			n.setSeed(s, false, false)
			time.Sleep(n.delay(4 * time.Second))
			n.setSeed(s, true, true)
		})
	}
}

func (n *foundingNetwork) setSeed(s *foundingSeed, up, secondLife bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s.up, s.secondLife = up, secondLife
}

// propose lets a candidate ask until it may found the group or the time is over.
func (n *foundingNetwork) propose(ctx context.Context, seeds []Address, identity string, founded chan<- string) {
	time.Sleep(n.delay(300 * time.Millisecond))
	f := &Founding{seeds: seeds, call: n.call, timer: timer.NewSystem(), log: zap.NewNop()}
	for ctx.Err() == nil {
		if f.Request(ctx, identity) {
			founded <- identity
			return
		}
		time.Sleep(150 * time.Millisecond)
	}
}

// Guards against an instance that founds a group of its own beside one that a first seed of a program before has
// permitted.
func TestFoundingBesideFormerPrograms(t *testing.T) {
	for _, c := range []struct {
		name    string
		replies []*wire.FoundReply
		founds  bool
		asked   int
	}{
		{"first seed permits it", []*wire.FoundReply{{Granted: true}, {}, {}}, true, 1},
		{"first seed has permitted another", []*wire.FoundReply{{}, {Granted: true, Counted: true}, {Granted: true, Counted: true}}, false, 1},
		{"another seed permits it", []*wire.FoundReply{{Granted: true, Counted: true}, {Granted: true}, {}}, true, 2},
		{"another seed has permitted another", []*wire.FoundReply{{Granted: true, Counted: true}, {}, {Granted: true, Counted: true}}, false, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			asked := 0
			f := &Founding{seeds: []Address{"0", "1", "2"}, timer: timer.NewManual(), log: zap.NewNop()}
			f.call = func(_ context.Context, seed Address, q *wire.FoundRequest) (*wire.FoundReply, error) {
				if !q.GetRelease() {
					asked++
				}
				return c.replies[seed[0]-'0'], nil
			}
			is.Equal(f.Request(context.Background(), "x"), c.founds)
			is.Equal(asked, c.asked)
		})
	}
}
