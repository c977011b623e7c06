package state

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

func moveClaim(is *is.I, d *Data, r *wire.ClaimRequest) *wire.ClaimReply {
	r.Account, r.Key = "acme", "k"
	if r.Digest == "" {
		r.Digest = "d"
	}
	return execute(is, d.Apply, &wire.Command{Body: &wire.Command_Claim{Claim: r}}, &wire.ClaimReply{})
}

// Guards against a claim that is dispatched twice: by a former owner, by a second
// request of the same owner, by a retry, or after a takeover.
func TestClaimDispatchesOnce(t *testing.T) {
	const open, dispatch, finish, abort = wire.Step_STEP_OPEN, wire.Step_STEP_DISPATCH, wire.Step_STEP_FINISH, wire.Step_STEP_ABORT
	is := is.New(t)
	d := NewData(timer.NewManual().Now)
	for _, k := range []struct {
		name  string
		r     *wire.ClaimRequest
		won   bool
		code  wire.Code
		phase wire.Phase
		epoch uint64
	}{
		{"first", &wire.ClaimRequest{Step: open, Owner: "a", Nonce: 1}, true, 0, wire.Phase_PHASE_OPEN, 1},
		{"retry of open", &wire.ClaimRequest{Step: open, Owner: "a", Nonce: 1}, true, 0, wire.Phase_PHASE_OPEN, 1},
		{"second request of the owner", &wire.ClaimRequest{Step: open, Owner: "a", Nonce: 2}, false, 0, wire.Phase_PHASE_OPEN, 1},
		{"other body", &wire.ClaimRequest{Step: open, Owner: "b", Digest: "x"}, false, wire.Code_CODE_CONFLICT, wire.Phase_PHASE_OPEN, 1},
		{"takeover with the wrong epoch", &wire.ClaimRequest{Step: open, Owner: "b", Epoch: 2, Takeover: true}, false, 0, wire.Phase_PHASE_OPEN, 1},
		{"takeover", &wire.ClaimRequest{Step: open, Owner: "b", Epoch: 1, Takeover: true, Nonce: 3}, true, 0, wire.Phase_PHASE_OPEN, 2},
		{"former owner", &wire.ClaimRequest{Step: dispatch, Owner: "a", Epoch: 1, Nonce: 4}, false, wire.Code_CODE_CONFLICT, wire.Phase_PHASE_OPEN, 2},
		{"abort", &wire.ClaimRequest{Step: abort, Owner: "b", Epoch: 2}, true, 0, wire.Phase_PHASE_NONE, 2},
		{"open after abort", &wire.ClaimRequest{Step: open, Owner: "a", Nonce: 5}, true, 0, wire.Phase_PHASE_OPEN, 3},
		{"old epoch of the same owner", &wire.ClaimRequest{Step: dispatch, Owner: "a", Epoch: 1}, false, wire.Code_CODE_CONFLICT, wire.Phase_PHASE_OPEN, 3},
		{"finish before dispatch", &wire.ClaimRequest{Step: finish, Owner: "a", Epoch: 3}, false, wire.Code_CODE_CONFLICT, wire.Phase_PHASE_OPEN, 3},
		{"dispatch", &wire.ClaimRequest{Step: dispatch, Owner: "a", Epoch: 3, Nonce: 6}, true, 0, wire.Phase_PHASE_DISPATCHING, 3},
		{"retry of dispatch", &wire.ClaimRequest{Step: dispatch, Owner: "a", Epoch: 3, Nonce: 6}, true, 0, wire.Phase_PHASE_DISPATCHING, 3},
		{"second dispatch", &wire.ClaimRequest{Step: dispatch, Owner: "a", Epoch: 3, Nonce: 7}, false, wire.Code_CODE_CONFLICT, wire.Phase_PHASE_DISPATCHING, 3},
		{"takeover while dispatching", &wire.ClaimRequest{Step: open, Owner: "b", Epoch: 3, Takeover: true}, false, 0, wire.Phase_PHASE_DISPATCHING, 3},
		{"abort while dispatching", &wire.ClaimRequest{Step: abort, Owner: "a", Epoch: 3}, false, wire.Code_CODE_CONFLICT, wire.Phase_PHASE_DISPATCHING, 3},
		{"finish", &wire.ClaimRequest{Step: finish, Owner: "a", Epoch: 3, Answer: &wire.Answer{Status: 200}}, true, 0, wire.Phase_PHASE_DONE, 3},
		{"open after finish", &wire.ClaimRequest{Step: open, Owner: "b"}, false, 0, wire.Phase_PHASE_DONE, 3},
	} {
		s, err := d.Snapshot()
		is.NoErr(err)
		is.NoErr(d.Restore(s))
		r := moveClaim(is, d, k.r)
		got := []any{r.Won, r.Fault.GetCode(), r.Phase, r.Epoch}
		is.Equal(got, []any{k.won, k.code, k.phase, k.epoch}) // k.name
	}
	r, _ := d.Claim(&wire.ClaimRequest{Account: "acme", Key: "k", Digest: "d"})
	is.Equal(r.Answer.GetStatus(), uint32(200))
}

// Guards against an active session that changes its version without a move, and
// against a move that takes effect twice.
func TestPins(t *testing.T) {
	is := is.New(t)
	d := NewData(timer.NewManual().Now)
	for _, k := range []struct {
		instant       time.Duration
		version, from string
		want          string
		won           bool
		code          wire.Code
	}{
		{0, "v1", "v0", "", false, wire.Code_CODE_MISSING},
		{0, "v1", "", "v1", true, 0},
		{0, "v2", "", "v1", false, 0},
		{0, "v2", "v1", "v2", true, 0},
		{0, "v3", "v1", "v2", false, 0},
		{20 * time.Hour, "v3", "", "v2", false, 0},
		{40 * time.Hour, "v3", "", "v2", false, 0}, // renewed by the request at 20 h
		{65 * time.Hour, "v3", "", "v3", true, 0},
	} {
		r := execute(is, d.Apply, &wire.Command{Instant: k.instant.Milliseconds(), Body: &wire.Command_Pin{Pin: &wire.PinRequest{
			Account: "acme", Service: "pool", Session: "s", Model: "m", Version: k.version, From: k.from,
		}}}, &wire.PinReply{})
		is.Equal(r.Version, k.want)
		is.Equal(r.Won, k.won)
		is.Equal(r.Fault.GetCode(), k.code)
	}
}

// Guards against an entry instance with an outdated configuration that moves a session
// off a version which only that configuration withdraws. Also covers restored state.
func TestPinIsNotMovedByAnOlderConfiguration(t *testing.T) {
	is := is.New(t)
	d := NewData(timer.NewManual().Now)
	for _, k := range []struct {
		revision      uint64
		version, from string
		want          string
		wantRevision  uint64
	}{
		{10, "v3", "", "v3", 10},
		{9, "v2", "v3", "v3", 10},
		{10, "v2", "v3", "v2", 10},
		{12, "v4", "v2", "v4", 12},
		{11, "v3", "v4", "v4", 12},
	} {
		r := execute(is, d.Apply, &wire.Command{Body: &wire.Command_Pin{Pin: &wire.PinRequest{
			Account: "acme", Service: "pool", Session: "s", Model: "m", Version: k.version, From: k.from, Revision: k.revision,
		}}}, &wire.PinReply{})
		is.Equal(r.Version, k.want)
		is.Equal(r.Revision, k.wantRevision)
		b, err := d.Snapshot()
		is.NoErr(err)
		is.NoErr(d.Restore(b))
	}
}

// Guards against a request that is charged twice because its charge was resent.
func TestChargeOnce(t *testing.T) {
	is := is.New(t)
	d := NewData(timer.NewManual().Now)
	for _, k := range []struct {
		request, digest string
		repeated        bool
	}{{"r", "d", false}, {"r", "d", true}, {"r", "e", false}, {"q", "d", false}, {"q", "d", true}} {
		s, err := d.Snapshot()
		is.NoErr(err)
		is.NoErr(d.Restore(s))
		r := execute(is, d.Apply, &wire.Command{Body: &wire.Command_Charge{Charge: &wire.ChargeRequest{
			Account: "acme", Service: "pool", Request: k.request, Digest: k.digest, Amount: 7, Input: 2,
			Costs: []*wire.Cost{{Amount: 3}, {Amount: 8}},
		}}}, &wire.ChargeReply{})
		is.Equal(r.Repeated, k.repeated)
	}
	l := d.Ledger(&wire.LedgerRequest{Account: "acme", Limit: 2})
	is.Equal(l.Totals[0].Requests, uint64(3))
	is.Equal(l.Totals[0].Amount, uint64(21))
	is.Equal(l.Totals[0].Cost, uint64(33))
	is.Equal(len(l.Charges), 2)
	is.Equal(l.Charges[0].Request, "q")
}
