package soak

import (
	"context"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// partitionDelay is how long after its begin first attempts count.
	partitionDelay = 3 * time.Second
	// Partitioned instances must serve first attempts at least partitionShare as often as the
	// others, or fail no more than allowedFailures and one in allowedFailureShare of them.
	partitionShare      = 2.0 / 3
	allowedFailures     = 10
	allowedFailureShare = 50
	// minOthersServed is the share of the requests that the others must serve for the comparison.
	// Where upstreams turn away most requests, chance decides whose requests find room.
	minOthersServed = 0.5
	// partitionCallers is the number of callers that keep to each instance, whether they are served or
	// not. Instances must have the same load, since their shares of brittle upstreams are equal.
	partitionCallers = 6
)

// partition is a time in which some instances do not reach any upstream. New connections of theirs
// hang; open ones hang, are reset or live on.
type partition struct {
	since       timer.Instant
	kind        partitionKind
	partitioned map[*instance]bool
	// attempts counts first attempts by the second of the partition in which they began.
	attempts map[int]*attempts
}

// attempts counts first attempts by whether their instance is partitioned.
type attempts struct{ tries, served map[bool]int }

// partitionKind is what happens to open connections.
type partitionKind int

const (
	partitionHangs partitionKind = iota
	partitionResets
	partitionKeepsOpen
	partitionKinds
)

// partitionKindNames are the names of the kinds in the report, in the order of the constants.
var partitionKindNames = []string{"partition hangs", "partition resets", "partition keeps open"}

// addresses returns the addresses of the partitioned instances.
func (p *partition) addresses() (out []net.IP) {
	for i := range p.partitioned {
		out = append(out, net.ParseIP(i.ip))
	}
	return out
}

// partitionInstances partitions some instances from all upstreams, but not all instances.
func (in *injector) partitionInstances(ctx context.Context, r *rand.Rand) {
	p := &partition{
		since: in.options.Timer.Now(), kind: partitionKind(r.IntN(int(partitionKinds))), partitioned: map[*instance]bool{}, attempts: map[int]*attempts{},
	}
	for _, i := range r.Perm(len(in.instances))[:1+r.IntN(len(in.instances)-2)] {
		p.partitioned[in.instances[i]] = true
	}
	in.mu.Lock()
	if in.partition != nil {
		in.mu.Unlock()
		return
	}
	in.partition = p
	in.mu.Unlock()
	in.recorder.count(partitionKindNames[p.kind])
	end := in.recorder.beginPartition()
	in.applyPartition(p)
	length := partitionDelay + 3*time.Second + time.Duration(r.Int64N(int64(5*time.Second)))
	in.startPartitionCallers(p.since.Add(length), r)
	_ = timer.Sleep(ctx, in.options.Timer, length)
	in.mu.Lock()
	in.partition = nil
	in.mu.Unlock()
	in.applyPartition(nil)
	end()
	_ = timer.Sleep(ctx, in.options.Timer, callerTimeout) // until the requests in progress have ended
	in.checkPartition(p)
}

// startPartitionCallers starts callers that keep to their instances until the partition ends.
func (in *injector) startPartitionCallers(until timer.Instant, r *rand.Rand) {
	for _, i := range in.instances {
		for range partitionCallers {
			in.mu.Lock()
			in.extraCallers++
			number := in.options.Size.Callers + in.extraCallers
			in.mu.Unlock()
			c := &caller{soak: in.Soak, number: number, random: rand.New(rand.NewPCG(r.Uint64(), uint64(number))), instance: i, until: until}
			in.group.Go("caller", c.run)
		}
	}
}

// applyPartition begins a partition at all upstreams, or ends it with nil.
func (in *injector) applyPartition(p *partition) {
	in.mu.Lock()
	list := slices.Collect(maps.Keys(in.running))
	in.mu.Unlock()
	for _, u := range list {
		if err := u.proxy.setPartition(p); err != nil {
			in.recorder.violation("partition: %v", err)
		}
	}
}

// currentPartition returns the partition in which a request counts that begins now, or nil.
func (s *Soak) currentPartition() *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partition == nil || s.options.Timer.Now() < s.partition.since.Add(partitionDelay) {
		return nil
	}
	return s.partition
}

// countAttempt counts the first attempt of a request that began in a partition, unless there was
// another disturbance.
func (s *Soak) countAttempt(p *partition, i *instance, begin timer.Instant, served bool) {
	if p == nil || !s.recorder.undisturbedSince(begin) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	second := int(begin.Sub(p.since) / time.Second)
	a := p.attempts[second]
	if a == nil {
		a = &attempts{map[bool]int{}, map[bool]int{}}
		p.attempts[second] = a
	}
	a.tries[p.partitioned[i]]++
	if served {
		a.served[p.partitioned[i]]++
	}
}

// checkPartition checks that callers of partitioned instances were served about as well as those of
// others in the same second: callers leave instances that refuse requests, so that more attempts go
// to the partitioned ones while upstreams are short of room.
func (s *Soak) checkPartition(p *partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tries, served, expected := 0, 0, 0.0
	for _, a := range p.attempts {
		if a.tries[false] == 0 {
			continue
		}
		tries += a.tries[true]
		served += a.served[true]
		expected += float64(a.tries[true]) * float64(a.served[false]) / float64(a.tries[false])
	}
	if tries == 0 || expected < minOthersServed*float64(tries) {
		return
	}
	s.recorder.count("checked partitions")
	if float64(served) < partitionShare*expected && tries-served > allowedFailures+tries/allowedFailureShare {
		s.recorder.violation("%d partitioned instances served %d of %d requests at the first attempt, the others would have served %.1f (%s)",
			len(p.partitioned), served, tries, expected, partitionKindNames[p.kind])
	}
}

// setPartition drops all packets from the partitioned instances, and nothing with nil.
func (p *proxy) setPartition(part *partition) error {
	var sources []net.IP
	if part != nil {
		sources = part.addresses()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.partition != nil {
		p.formerPartition, p.partitionEnded = p.partition, p.timer.Now()
	}
	p.partition = part
	close(p.changed)
	p.changed = make(chan struct{})
	err := DropFrom(p.listener.(*net.TCPListener), sources)
	for c := range p.conns {
		switch {
		case part == nil:
			err = errors.CombineErrors(err, DropFrom(c.instanceConn.(*net.TCPConn), nil))
		case !c.isPartitioned(part) || part.kind == partitionKeepsOpen:
		case part.kind == partitionResets:
			c.reset()
		default:
			err = errors.CombineErrors(err, DropFrom(c.instanceConn.(*net.TCPConn), sources))
		}
	}
	return err
}

// isPartitioned reports whether the connection comes from a partitioned instance.
func (pc *proxiedConn) isPartitioned(p *partition) bool {
	return p != nil && p.contains(pc.instanceConn.RemoteAddr().(*net.TCPAddr).IP.String())
}

// hangs reports whether the connection must pass nothing on.
func (pc *proxiedConn) hangs() bool {
	pc.proxy.mu.Lock()
	p := pc.proxy.partition
	pc.proxy.mu.Unlock()
	return pc.isPartitioned(p) && p.kind == partitionHangs
}

// DropFrom attaches a filter to a socket that drops all packets from the sources, as a partition
// does. A listener drops requests for connections too. Without sources the filter passes everything.
func DropFrom(c syscall.Conn, sources []net.IP) (err error) {
	const (
		sourceOffset = 0xfff00000 + 12 // of the source address, after SKF_NET_OFF
		passAll      = 0xffffffff
	)
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: sourceOffset}}
	for i, s := range sources {
		// To the last instruction, which drops the packet.
		program = append(program, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: uint8(len(sources) - i), K: binary.BigEndian.Uint32(s.To4())})
	}
	program = append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: passAll}, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K})
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	if errors.Is(err, net.ErrClosed) || errors.Is(controlErr, net.ErrClosed) {
		return nil // the connection has ended
	}
	return errors.CombineErrors(err, controlErr)
}
