package state

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// draws builds random commands over few names, so that they collide often.
type draws struct {
	t       *rapid.T
	instant int64
}

func (d *draws) number(name string, most int) uint64 {
	return uint64(rapid.IntRange(0, most).Draw(d.t, name))
}

func (d *draws) name(kind string, most int) string {
	return fmt.Sprint(kind, d.number(kind, most))
}

// command wraps a body; instants jump ahead and sometimes go back.
func (d *draws) command(c *wire.Command) *wire.Command {
	d.instant += int64(rapid.IntRange(-int(time.Hour.Milliseconds()), int(3*time.Hour.Milliseconds())).Draw(d.t, "instant"))
	c.Instant = d.instant
	return c
}

func (d *draws) config() *wire.Command {
	switch d.number("kind", 9) {
	case 0, 1, 2:
		return d.command(&wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceRequest{Upstream: &wire.Upstream{
			Name: d.name("w", 1), Incarnation: d.number("incarnation", 4), Sequence: d.number("sequence", 5), Address: d.name("address", 1),
		}}}})
	case 3:
		return d.command(&wire.Command{Body: &wire.Command_Leave{Leave: &wire.LeaveRequest{
			Name: d.name("w", 1), Incarnation: d.number("incarnation", 4), Sequence: d.number("sequence", 5), Expired: d.number("expired", 1) == 0,
		}}})
	case 4:
		return d.command(&wire.Command{Body: &wire.Command_Drain{Drain: &wire.DrainRequest{Instance: d.name("e", 1), Off: d.number("off", 1) == 0}}})
	case 5:
		return d.command(&wire.Command{Body: &wire.Command_Form{Form: &wire.FormCommand{Groups: uint32(d.number("groups", 2))}}})
	}
	return d.command(&wire.Command{Body: &wire.Command_Apply{Apply: &wire.ApplyRequest{
		Service: d.name("s", 1), Base: d.number("base", 30), Change: d.name("c", 20), Text: []byte(d.name("text", 3)),
	}}})
}

func (d *draws) data() *wire.Command {
	switch d.number("kind", 5) {
	case 0:
		return d.command(&wire.Command{Body: &wire.Command_Charge{Charge: &wire.ChargeRequest{
			Account: d.name("a", 1), Request: d.name("r", 5), Digest: d.name("d", 1), Service: d.name("s", 1), Amount: 1,
		}}})
	case 1:
		return d.command(&wire.Command{Body: &wire.Command_Pin{Pin: &wire.PinRequest{
			Account: d.name("a", 1), Session: d.name("s", 2), Version: d.name("v", 2), From: d.name("v", 2)[:d.number("from", 1)*2],
		}}})
	}
	return d.command(&wire.Command{Body: &wire.Command_Claim{Claim: &wire.ClaimRequest{
		Account: "a", Key: d.name("k", 1), Digest: d.name("d", 1), Owner: d.name("o", 1), Epoch: d.number("epoch", 3),
		Nonce: d.number("nonce", 6), Takeover: d.number("takeover", 1) == 0, Step: wire.Step(d.number("step", 3)),
	}}})
}

// replay applies commands to two machines, one of which is replaced by a restored
// one at random points, and calls check with each command and reply.
func replay(t *rapid.T, create func() replica.StateMachine, draw func() *wire.Command, check func(c *wire.Command, result []byte)) {
	plain, moved := create(), create()
	for range rapid.IntRange(1, 200).Draw(t, "commands") {
		c := draw()
		command, err := proto.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
			moved = transfer(t, moved, create())
		}
		a, b := plain.Apply(0, command), moved.Apply(0, command)
		if !bytes.Equal(a, b) {
			t.Fatalf("replies differ for %v", c)
		}
		check(c, a)
	}
	if !bytes.Equal(snapshot(t, plain), snapshot(t, moved)) {
		t.Fatal("states differ")
	}
}

func snapshot(t *rapid.T, m replica.StateMachine) []byte {
	s, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func transfer(t *rapid.T, from, to replica.StateMachine) replica.StateMachine {
	s := snapshot(t, from)
	if err := to.Restore(s); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(s, snapshot(t, to)) {
		t.Fatal("a restored state differs from its snapshot")
	}
	return to
}

// Guards against replicas of group 0 that differ, against two accepted changes of
// one base, and against an incarnation that comes back after it left.
func TestReplayConfig(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &draws{t: t}
		current, revision := map[string]uint64{}, uint64(0)
		left := map[string]uint64{}
		replay(t, func() replica.StateMachine { return NewConfig() }, d.config, func(c *wire.Command, result []byte) {
			var r wire.ApplyReply
			switch b := c.Body.(type) {
			case *wire.Command_Apply:
				if err := proto.Unmarshal(result, &r); err != nil {
					t.Fatal(err)
				}
				if r.Fault != nil || r.Repeated {
					return
				}
				if b.Apply.Base != current[b.Apply.Service] || r.Revision <= revision {
					t.Fatalf("revision %d accepted on base %d, current %d", r.Revision, b.Apply.Base, current[b.Apply.Service])
				}
				current[b.Apply.Service], revision = r.Revision, r.Revision
			case *wire.Command_Leave:
				if !b.Leave.Expired {
					left[b.Leave.Name] = max(left[b.Leave.Name], b.Leave.Incarnation+1)
				}
			case *wire.Command_Announce:
				var a wire.AnnounceReply
				if err := proto.Unmarshal(result, &a); err != nil {
					t.Fatal(err)
				}
				if u := b.Announce.Upstream; a.Fault == nil && u.Incarnation+1 <= left[u.Name] {
					t.Fatalf("incarnation %d came back", u.Incarnation)
				}
			}
		})
	})
}

// Guards against replicas of a data group that differ, and against a claim that
// is dispatched twice while it is kept.
func TestReplayData(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &draws{t: t}
		dispatched := map[string]string{}
		create := func() replica.StateMachine { return NewData(timer.NewManual().Now) }
		replay(t, create, d.data, func(c *wire.Command, result []byte) {
			q := c.GetClaim()
			if q == nil {
				return
			}
			var r wire.ClaimReply
			if err := proto.Unmarshal(result, &r); err != nil {
				t.Fatal(err)
			}
			if q.Step == wire.Step_STEP_OPEN && r.Won {
				// The claim is new: the former one was aborted, taken over or dropped after 24 h.
				delete(dispatched, q.Key)
			}
			if q.Step != wire.Step_STEP_DISPATCH || !r.Won {
				return
			}
			call := fmt.Sprint(q.Owner, q.Epoch, q.Nonce)
			if by, ok := dispatched[q.Key]; ok && (by != call || q.Nonce == 0) {
				t.Fatalf("dispatched by %s and by %s", by, call)
			}
			dispatched[q.Key] = call
		})
	})
}
