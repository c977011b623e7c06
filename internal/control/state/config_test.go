package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// execute applies a command and decodes its reply into r.
func execute[R proto.Message](is *is.I, apply func(replica.Index, []byte) []byte, c *wire.Command, r R) R {
	b, err := proto.Marshal(c)
	is.NoErr(err)
	is.NoErr(proto.Unmarshal(apply(0, b), r))
	return r
}

func applyDocument(is *is.I, c *Config, instant time.Duration, service string, base uint64, id, text string) *wire.ApplyReply {
	return execute(is, c.Apply, &wire.Command{Instant: instant.Milliseconds(), Body: &wire.Command_Apply{
		Apply: &wire.ApplyRequest{Service: service, Base: base, Change: id, Text: []byte(text)},
	}}, &wire.ApplyReply{})
}

// restoreCopy returns a state machine restored from a snapshot of c.
func restoreCopy(is *is.I, c *Config) *Config {
	s, err := c.Snapshot()
	is.NoErr(err)
	restored := NewConfig()
	is.NoErr(restored.Restore(s))
	return restored
}

// Guards against a change that is refused or applied twice when a client resends it
// after its reply was lost, later changes were accepted and the state was restored.
func TestResendGetsFirstReply(t *testing.T) {
	is := is.New(t)
	c := NewConfig()
	first := applyDocument(is, c, 0, "pool", 0, "a", "one")
	is.Equal(first.Revision, uint64(1))
	refused := applyDocument(is, c, 0, "pool", 0, "b", "two")
	is.Equal(refused.Fault.GetCode(), wire.Code_CODE_CONFLICT)
	is.Equal(refused.Revision, uint64(1))
	base := uint64(1)
	for i := range 1000 {
		base = applyDocument(is, c, 0, "pool", base, fmt.Sprint("c", i), fmt.Sprint("text", i)).Revision
	}
	is.Equal(base, uint64(1001))
	c = restoreCopy(is, c)
	for _, r := range []struct{ id, text string }{{"a", "one"}, {"", "one"}, {"other", "one"}} {
		again := applyDocument(is, c, 0, "pool", 0, r.id, r.text)
		is.Equal(again.Fault, nil)
		is.True(again.Repeated)
		is.Equal(again.Revision, uint64(1))
	}
	again := applyDocument(is, c, 0, "pool", 0, "b", "two")
	is.Equal(again.Fault.GetCode(), wire.Code_CODE_CONFLICT)
	is.Equal(again.Revision, uint64(1)) // that of the first reply, not the current one
	is.Equal(applyDocument(is, c, 0, "pool", 1001, "a", "three").Fault.GetCode(), wire.Code_CODE_CONFLICT)
	is.Equal(c.Revision(), uint64(1001))
}

// Guards against accepting two changes with the same base revision, or a change whose
// base is the revision of another document.
func TestChangeNeedsCurrentBase(t *testing.T) {
	is := is.New(t)
	c := NewConfig()
	for _, k := range []struct {
		service  string
		base     uint64
		text     string
		code     wire.Code
		revision uint64
	}{
		{"pool", 0, "one", 0, 1},
		{"desk", 1, "one", wire.Code_CODE_CONFLICT, 0},
		{"desk", 0, "one", 0, 2},
		{"pool", 2, "two", wire.Code_CODE_CONFLICT, 1},
		{"pool", 1, "two", 0, 3},
		{"pool", 1, "three", wire.Code_CODE_CONFLICT, 3},
		{"", 0, "one", wire.Code_CODE_INVALID, 0},
	} {
		r := applyDocument(is, c, 0, k.service, k.base, "", k.text)
		is.Equal(r.Fault.GetCode(), k.code)
		is.Equal(r.Revision, k.revision)
	}
	is.Equal(c.History(&wire.HistoryRequest{Service: "pool"}).Documents[0].Revision, uint64(3))
	is.Equal(string(c.Show(&wire.ShowRequest{Service: "pool", Revision: 1}).Documents[0].Text), "one")
}

// Guards against receipts that never expire after the clock was set back, or that
// expire too early after it jumped ahead.
func TestReceiptRetention(t *testing.T) {
	is := is.New(t)
	c := NewConfig()
	applyDocument(is, c, 10*time.Hour, "pool", 0, "a", "one")
	applyDocument(is, c, 33*time.Hour, "desk", 0, "b", "one")
	is.True(applyDocument(is, c, 0, "pool", 0, "a", "one").Repeated)
	applyDocument(is, c, 35*time.Hour, "other", 0, "c", "one")
	is.Equal(applyDocument(is, c, 0, "pool", 0, "a", "one").Fault.GetCode(), wire.Code_CODE_CONFLICT)
	is.True(applyDocument(is, c, 0, "desk", 0, "b", "one").Repeated)
}

func announce(is *is.I, c *Config, incarnation, sequence uint64, address string) *wire.AnnounceReply {
	return execute(is, c.Apply, &wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceRequest{
		Upstream: &wire.Upstream{Name: "w1", Incarnation: incarnation, Sequence: sequence, Address: address},
	}}}, &wire.AnnounceReply{})
}

func leave(is *is.I, c *Config, incarnation, sequence uint64, expired bool) *wire.LeaveReply {
	return execute(is, c.Apply, &wire.Command{Body: &wire.Command_Leave{Leave: &wire.LeaveRequest{
		Name: "w1", Incarnation: incarnation, Sequence: sequence, Expired: expired,
	}}}, &wire.LeaveReply{})
}

// Guards against an announcement that is delivered late and registers an incarnation
// again that has left or was replaced.
func TestLateAnnouncements(t *testing.T) {
	is := is.New(t)
	c := NewConfig()
	liveAddress := func() (address string) {
		c = restoreCopy(is, c)
		for _, u := range c.Upstreams() {
			address = u.Address
		}
		return address
	}
	announce(is, c, 5, 1, "a")
	announce(is, c, 5, 3, "c")
	announce(is, c, 5, 2, "b")
	is.Equal(liveAddress(), "c")
	is.Equal(announce(is, c, 4, 9, "x").Fault.GetCode(), wire.Code_CODE_CONFLICT)
	leave(is, c, 4, 9, false)
	is.Equal(liveAddress(), "c")
	leave(is, c, 5, 2, true) // the expiry was decided before sequence 3 arrived
	is.Equal(liveAddress(), "c")
	leave(is, c, 5, 3, true)
	is.Equal(liveAddress(), "")
	is.Equal(announce(is, c, 5, 3, "c").Fault.GetCode(), wire.Code_CODE_CONFLICT)
	is.Equal(announce(is, c, 5, 4, "d").Fault, nil) // its lease expired, but it never left
	is.Equal(liveAddress(), "d")
	leave(is, c, 5, 4, false)
	is.Equal(announce(is, c, 5, 9, "e").Fault.GetCode(), wire.Code_CODE_CONFLICT)
	is.Equal(liveAddress(), "")
	leave(is, c, 7, 1, false) // delivered before the announcement of incarnation 7
	is.Equal(announce(is, c, 7, 0, "f").Fault.GetCode(), wire.Code_CODE_CONFLICT)
	is.Equal(announce(is, c, 6, 9, "f").Fault.GetCode(), wire.Code_CODE_CONFLICT)
	announce(is, c, 8, 0, "g")
	is.Equal(liveAddress(), "g")
}

// Guards against deltas that omit a change or list an upstream that has left.
func TestDeltas(t *testing.T) {
	is := is.New(t)
	c := NewConfig()
	announce(is, c, 1, 1, "a")
	applyDocument(is, c, 0, "pool", 0, "", "one")
	before := c.Revision()
	announce(is, c, 1, 2, "a")
	is.Equal(c.Revision(), before) // a heartbeat does not count as a change
	leave(is, c, 1, 3, false)
	d := c.DeltaSince(before)
	is.True(!d.Full)
	is.Equal(len(d.Documents), 0)
	is.True(d.Upstreams[0].Left)
	d = restoreCopy(is, c).DeltaSince(before)
	is.True(d.Full)
	is.Equal(len(d.Upstreams), 0)
	is.Equal(len(d.Documents), 1)
	is.Equal(d.Revision, c.Revision())
}

// Guards against a fencing token that is issued to two orders, and against a retried
// order that gets a second token.
func TestOrderTokens(t *testing.T) {
	is := is.New(t)
	c := NewConfig()
	order := func(id string) *wire.OrderReply {
		return execute(is, c.Apply, &wire.Command{Body: &wire.Command_Order{Order: &wire.OrderCommand{Order: id}}}, &wire.OrderReply{})
	}
	is.Equal(order("").Fault.GetCode(), wire.Code_CODE_INVALID)
	for _, s := range []struct {
		id    string
		token uint64
	}{{"a", 1}, {"b", 2}, {"a", 1}, {"c", 3}, {"b", 2}} {
		is.Equal(order(s.id).Token, s.token)
		c = restoreCopy(is, c)
	}
	for i := range maxRecentOrders {
		is.Equal(order(fmt.Sprint(i)).Token, uint64(4+i))
	}
	is.Equal(len(restoreCopy(is, c).recentOrders), maxRecentOrders)
	is.Equal(order("c").Token, uint64(4+maxRecentOrders)) // no longer remembered, so it gets a new token
}
