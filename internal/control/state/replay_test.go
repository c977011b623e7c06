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

// commandGenerator draws random commands with few distinct names, so that they often
// concern the same record.
type commandGenerator struct {
	t       *rapid.T
	instant int64
}

func (g *commandGenerator) number(name string, limit int) uint64 {
	return uint64(rapid.IntRange(0, limit).Draw(g.t, name))
}

func (g *commandGenerator) name(prefix string, limit int) string {
	return fmt.Sprint(prefix, g.number(prefix, limit))
}

// withInstant sets the instant of a command. Instants jump ahead and sometimes go back.
func (g *commandGenerator) withInstant(c *wire.Command) *wire.Command {
	g.instant += int64(rapid.IntRange(-int(time.Hour.Milliseconds()), int(3*time.Hour.Milliseconds())).Draw(g.t, "instant"))
	c.Instant = g.instant
	return c
}

func (g *commandGenerator) configCommand() *wire.Command {
	switch g.number("kind", 9) {
	case 0, 1, 2:
		return g.withInstant(&wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceRequest{Upstream: &wire.Upstream{
			Name: g.name("w", 1), Incarnation: g.number("incarnation", 4), Sequence: g.number("sequence", 5), Address: g.name("address", 1),
		}}}})
	case 3:
		return g.withInstant(&wire.Command{Body: &wire.Command_Leave{Leave: &wire.LeaveRequest{
			Name: g.name("w", 1), Incarnation: g.number("incarnation", 4), Sequence: g.number("sequence", 5), Expired: g.number("expired", 1) == 0,
		}}})
	case 4:
		return g.withInstant(&wire.Command{Body: &wire.Command_Drain{Drain: &wire.DrainRequest{Instance: g.name("e", 1), Off: g.number("off", 1) == 0}}})
	case 5:
		return g.withInstant(&wire.Command{Body: &wire.Command_Form{Form: &wire.FormCommand{Groups: uint32(g.number("groups", 2))}}})
	}
	return g.withInstant(&wire.Command{Body: &wire.Command_Apply{Apply: &wire.ApplyRequest{
		Service: g.name("s", 1), Base: g.number("base", 30), Change: g.name("c", 20), Text: []byte(g.name("text", 3)),
	}}})
}

func (g *commandGenerator) dataCommand() *wire.Command {
	switch g.number("kind", 5) {
	case 0:
		return g.withInstant(&wire.Command{Body: &wire.Command_Charge{Charge: &wire.ChargeRequest{
			Account: g.name("a", 1), Request: g.name("r", 5), Digest: g.name("d", 1), Service: g.name("s", 1), Amount: 1,
		}}})
	case 1:
		return g.withInstant(&wire.Command{Body: &wire.Command_Pin{Pin: &wire.PinRequest{
			Account: g.name("a", 1), Session: g.name("s", 2), Version: g.name("v", 2), From: g.name("v", 2)[:g.number("from", 1)*2],
		}}})
	}
	return g.withInstant(&wire.Command{Body: &wire.Command_Claim{Claim: &wire.ClaimRequest{
		Account: "a", Key: g.name("k", 1), Digest: g.name("d", 1), Owner: g.name("o", 1), Epoch: g.number("epoch", 3),
		Nonce: g.number("nonce", 6), Takeover: g.number("takeover", 1) == 0, Step: wire.Step(g.number("step", 3)),
	}}})
}

// replay applies random commands to two machines and compares their replies and final
// states. One machine is replaced by a restored copy at random points. check is called
// with each command and its reply.
func replay(t *rapid.T, create func() replica.StateMachine, draw func() *wire.Command, check func(c *wire.Command, result []byte)) {
	original, restored := create(), create()
	for range rapid.IntRange(1, 200).Draw(t, "commands") {
		c := draw()
		command, err := proto.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
			restored = restoreInto(t, restored, create())
		}
		a, b := original.Apply(0, command), restored.Apply(0, command)
		if !bytes.Equal(a, b) {
			t.Fatalf("replies differ for %v", c)
		}
		check(c, a)
	}
	if !bytes.Equal(snapshot(t, original), snapshot(t, restored)) {
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

func restoreInto(t *rapid.T, from, to replica.StateMachine) replica.StateMachine {
	s := snapshot(t, from)
	if err := to.Restore(s); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(s, snapshot(t, to)) {
		t.Fatal("a restored state differs from its snapshot")
	}
	return to
}

// Guards against replicas of group 0 that diverge, against two accepted changes with
// the same base, and against an incarnation that registers again after it left.
func TestReplayConfig(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &commandGenerator{t: t}
		current, revision := map[string]uint64{}, uint64(0)
		left := map[string]uint64{} // highest incarnation that left plus one, by upstream
		replay(t, func() replica.StateMachine { return NewConfig() }, g.configCommand, func(c *wire.Command, result []byte) {
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
					t.Fatalf("incarnation %d registered again after it left", u.Incarnation)
				}
			}
		})
	})
}

// Guards against replicas of a data group that diverge, and against a claim that is
// dispatched twice within its retention.
func TestReplayData(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &commandGenerator{t: t}
		dispatched := map[string]string{} // owner, epoch and nonce of the dispatch by key
		create := func() replica.StateMachine { return NewData(timer.NewManual().Now) }
		replay(t, create, g.dataCommand, func(c *wire.Command, result []byte) {
			q := c.GetClaim()
			if q == nil {
				return
			}
			var r wire.ClaimReply
			if err := proto.Unmarshal(result, &r); err != nil {
				t.Fatal(err)
			}
			if q.Step == wire.Step_STEP_OPEN && r.Won {
				// This is a new claim: the one before was aborted, taken over or expired.
				delete(dispatched, q.Key)
			}
			if q.Step != wire.Step_STEP_DISPATCH || !r.Won {
				return
			}
			call := fmt.Sprint(q.Owner, q.Epoch, q.Nonce)
			if first, ok := dispatched[q.Key]; ok && (first != call || q.Nonce == 0) {
				t.Fatalf("claim dispatched by %s and by %s", first, call)
			}
			dispatched[q.Key] = call
		})
	})
}
