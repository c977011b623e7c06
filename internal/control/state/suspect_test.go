package state

import (
	"testing"
	"time"

	"github.com/matryer/is"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// suspectCase is one command and the standing that it must return.
type suspectCase struct {
	instant     time.Duration
	move        wire.Move
	suspect     string
	upstream    string
	incarnation uint64
	want        wire.Standing
}

const (
	breakMove           = wire.Move_MOVE_BREAK
	crashMove           = wire.Move_MOVE_CRASH
	trialMove           = wire.Move_MOVE_TRIAL
	endMove             = wire.Move_MOVE_END
	clearMove           = wire.Move_MOVE_CLEAR
	liftMove            = wire.Move_MOVE_LIFT
	announceIncarnation = wire.Move(-1) // the upstream announces the incarnation
	expireRegistration  = wire.Move(-2) // the registration of the upstream expires

	free        = wire.Standing_STANDING_FREE
	suspected   = wire.Standing_STANDING_SUSPECTED
	granted     = wire.Standing_STANDING_GRANTED
	occupied    = wire.Standing_STANDING_OCCUPIED
	wait        = wire.Standing_STANDING_WAIT
	quarantined = wire.Standing_STANDING_QUARANTINED
)

// Guards against a third upstream that gets a request which crashed two others, and
// against the quarantine of requests that only ran beside it. The state is restored
// from a snapshot after each move.
func TestSuspicions(t *testing.T) {
	for _, k := range []struct {
		name  string
		moves []suspectCase
	}{
		{"two crashes", []suspectCase{{0, crashMove, "p", "a", 1, suspected}, {0, trialMove, "p", "b", 1, granted}, {0, crashMove, "p", "b", 1, quarantined}, {0, trialMove, "p", "c", 1, quarantined}}},
		{"same crash twice", []suspectCase{{0, crashMove, "p", "a", 1, suspected}, {0, crashMove, "p", "a", 1, suspected}, {0, trialMove, "p", "b", 1, granted}}},
		{"cleared by a finished trial", []suspectCase{{0, crashMove, "p", "a", 1, suspected}, {0, trialMove, "p", "b", 1, granted}, {0, clearMove, "p", "b", 1, free}, {0, trialMove, "p", "b", 1, free}, {0, crashMove, "p", "c", 1, suspected}}},
		{"suspects tried on different upstreams", []suspectCase{{0, crashMove, "p", "a", 1, suspected}, {0, crashMove, "n", "a", 1, suspected}, {0, trialMove, "p", "b", 1, granted}, {0, trialMove, "n", "b", 1, occupied}, {0, trialMove, "n", "c", 1, granted}, {0, crashMove, "p", "b", 1, quarantined}, {0, clearMove, "n", "c", 1, free}, {0, trialMove, "n", "d", 1, free}}},
		{"no trial on a crashed incarnation", []suspectCase{{0, crashMove, "p", "a", 1, suspected}, {0, crashMove, "n", "b", 1, suspected}, {0, trialMove, "p", "b", 1, occupied}, {0, trialMove, "p", "b", 2, granted}}},
		{"one trial at a time", []suspectCase{{0, crashMove, "p", "a", 1, suspected}, {0, trialMove, "p", "b", 1, granted}, {0, trialMove, "p", "c", 1, wait}, {0, endMove, "p", "b", 1, free}, {0, trialMove, "p", "c", 1, granted}}},
		{"unconfirmed broken connections", []suspectCase{{0, breakMove, "p", "a", 1, suspected}, {0, breakMove, "p", "b", 1, suspected}, {0, trialMove, "p", "c", 1, wait}, {16 * time.Second, trialMove, "p", "c", 1, free}}},
		{"broken connections confirmed by new incarnations", []suspectCase{{0, announceIncarnation, "", "a", 1, 0}, {0, breakMove, "p", "a", 1, suspected}, {0, announceIncarnation, "", "a", 2, 0}, {0, breakMove, "p", "a", 2, suspected}, {0, trialMove, "p", "b", 1, wait}, {0, announceIncarnation, "", "a", 3, 0}, {0, trialMove, "p", "b", 1, quarantined}}},
		{"registration expires during a trial", []suspectCase{{0, announceIncarnation, "", "b", 1, 0}, {0, crashMove, "p", "a", 1, suspected}, {0, trialMove, "p", "b", 1, granted}, {time.Second, expireRegistration, "", "b", 1, 0}, {time.Second, trialMove, "p", "c", 1, quarantined}}},
		{"late report of a broken connection", []suspectCase{{0, announceIncarnation, "", "a", 2, 0}, {0, breakMove, "p", "a", 1, suspected}, {16 * time.Second, trialMove, "p", "a", 2, granted}, {16 * time.Second, crashMove, "p", "a", 2, quarantined}}},
		{"end of a trial never reported", []suspectCase{{0, crashMove, "p", "a", 1, suspected}, {0, trialMove, "p", "b", 1, granted}, {9 * time.Minute, trialMove, "p", "c", 1, wait}, {11 * time.Minute, trialMove, "p", "c", 1, granted}}},
		{"lifted", []suspectCase{{0, crashMove, "p", "a", 1, suspected}, {0, crashMove, "p", "b", 1, quarantined}, {0, clearMove, "p", "b", 1, free}, {0, trialMove, "p", "c", 1, quarantined}, {0, liftMove, "p", "", 0, free}, {0, trialMove, "p", "c", 1, free}}},
		{"quarantine expires after the retention", []suspectCase{{0, crashMove, "p", "a", 1, suspected}, {0, crashMove, "p", "b", 1, quarantined}, {Retention, trialMove, "p", "c", 1, quarantined}, {Retention + time.Minute, trialMove, "p", "c", 1, free}}},
	} {
		t.Run(k.name, func(t *testing.T) {
			is := is.New(t)
			c := NewConfig()
			nonces := map[string]uint64{} // nonce of the last trial by upstream
			for i, m := range k.moves {
				if m.move == trialMove {
					nonces[m.upstream] = uint64(i + 1)
				}
				command := &wire.Command{Instant: m.instant.Milliseconds() + 1}
				switch m.move {
				case announceIncarnation:
					command.Body = &wire.Command_Announce{Announce: &wire.AnnounceRequest{Upstream: &wire.Upstream{Name: m.upstream, Incarnation: m.incarnation, Sequence: 1}}}
				case expireRegistration:
					command.Body = &wire.Command_Leave{Leave: &wire.LeaveRequest{Name: m.upstream, Incarnation: m.incarnation, Sequence: 1, Expired: true}}
				default:
					command.Body = &wire.Command_Suspect{Suspect: &wire.SuspectRequest{
						Move: m.move, Suspects: []*wire.Suspect{{Fingerprint: m.suspect, Account: "hill"}},
						Upstream: m.upstream, Incarnation: m.incarnation, Owner: "e1", Epoch: 1, Nonce: nonces[m.upstream],
					}}
				}
				r := execute(is, c.Apply, command, &wire.SuspectReply{})
				if m.suspect != "" && r.Standings[0] != m.want {
					t.Errorf("move %d: %s, expected %s", i+1, r.Standings[0], m.want)
				}
				c = restoreCopy(is, c)
			}
		})
	}
}

// Guards against a granted trial that nobody ends and that blocks each resend: the
// request for a trial is delivered after the message that ends it, or a duplicate of
// it after the first was answered.
func TestLateTrial(t *testing.T) {
	for _, k := range []struct {
		name string
		// moves are the moves of entry instance e1 before its late request with nonce 1.
		moves  []wire.Move
		nonces []uint64
	}{
		{"request after its end", []wire.Move{endMove}, []uint64{1}},
		{"duplicate after its end", []wire.Move{trialMove, endMove}, []uint64{1, 1}},
		{"duplicate after a later trial", []wire.Move{trialMove, endMove, trialMove, endMove}, []uint64{1, 1, 2, 2}},
	} {
		t.Run(k.name, func(t *testing.T) {
			is := is.New(t)
			c := NewConfig()
			suspect := func(m wire.Move, owner, upstream string, nonce uint64) wire.Standing {
				r := execute(is, c.Apply, &wire.Command{Instant: 1, Body: &wire.Command_Suspect{Suspect: &wire.SuspectRequest{
					Move: m, Suspects: []*wire.Suspect{{Fingerprint: "p", Account: "hill"}},
					Upstream: upstream, Incarnation: 1, Owner: owner, Epoch: 1, Nonce: nonce,
				}}}, &wire.SuspectReply{})
				c = restoreCopy(is, c)
				return r.Standings[0]
			}
			suspect(crashMove, "e1", "a", 0)
			for i, m := range k.moves {
				suspect(m, "e1", "b", k.nonces[i])
			}
			is.Equal(suspect(trialMove, "e1", "b", 1), occupied)
			is.Equal(suspect(trialMove, "e2", "c", 1), granted)
		})
	}
	// A duplicate that arrives while its trial is running gets the reply to the first request.
	is := is.New(t)
	c := NewConfig()
	for i, m := range []wire.Move{crashMove, trialMove, trialMove} {
		r := execute(is, c.Apply, &wire.Command{Instant: 1, Body: &wire.Command_Suspect{Suspect: &wire.SuspectRequest{
			Move: m, Suspects: []*wire.Suspect{{Fingerprint: "p"}}, Upstream: []string{"a", "b", "b"}[i], Incarnation: 1, Owner: "e1", Nonce: 1,
		}}}, &wire.SuspectReply{})
		is.Equal(r.Standings[0], []wire.Standing{suspected, granted, granted}[i])
	}
}
