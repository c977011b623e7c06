package state

import (
	"testing"
	"time"

	"github.com/matryer/is"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// suspicion is one command and the standing that it must return.
type suspicion struct {
	at          time.Duration
	move        wire.Move
	suspect     string
	upstream    string
	incarnation uint64
	want        wire.Standing
}

const (
	brk    = wire.Move_MOVE_BREAK
	crash  = wire.Move_MOVE_CRASH
	trial  = wire.Move_MOVE_TRIAL
	end    = wire.Move_MOVE_END
	clean  = wire.Move_MOVE_CLEAR
	lift   = wire.Move_MOVE_LIFT
	renew  = wire.Move(-1) // the upstream announces the incarnation
	expire = wire.Move(-2) // its registration ends

	free     = wire.Standing_STANDING_FREE
	under    = wire.Standing_STANDING_SUSPECTED
	granted  = wire.Standing_STANDING_GRANTED
	occupied = wire.Standing_STANDING_OCCUPIED
	wait     = wire.Standing_STANDING_WAIT
	out      = wire.Standing_STANDING_QUARANTINED
)

// Guards against a third upstream that gets a poison request, and against the
// quarantine of innocent requests. Every case passes through a snapshot after each move.
func TestSuspicions(t *testing.T) {
	for _, k := range []struct {
		name  string
		moves []suspicion
	}{
		{"two crashes", []suspicion{{0, crash, "p", "a", 1, under}, {0, trial, "p", "b", 1, granted}, {0, crash, "p", "b", 1, out}, {0, trial, "p", "c", 1, out}}},
		{"same crash twice", []suspicion{{0, crash, "p", "a", 1, under}, {0, crash, "p", "a", 1, under}, {0, trial, "p", "b", 1, granted}}},
		{"finished elsewhere", []suspicion{{0, crash, "p", "a", 1, under}, {0, trial, "p", "b", 1, granted}, {0, clean, "p", "b", 1, free}, {0, trial, "p", "b", 1, free}, {0, crash, "p", "c", 1, under}}},
		{"apart", []suspicion{{0, crash, "p", "a", 1, under}, {0, crash, "n", "a", 1, under}, {0, trial, "p", "b", 1, granted}, {0, trial, "n", "b", 1, occupied}, {0, trial, "n", "c", 1, granted}, {0, crash, "p", "b", 1, out}, {0, clean, "n", "c", 1, free}, {0, trial, "n", "d", 1, free}}},
		{"not where one crashed", []suspicion{{0, crash, "p", "a", 1, under}, {0, crash, "n", "b", 1, under}, {0, trial, "p", "b", 1, occupied}, {0, trial, "p", "b", 2, granted}}},
		{"one run at a time", []suspicion{{0, crash, "p", "a", 1, under}, {0, trial, "p", "b", 1, granted}, {0, trial, "p", "c", 1, wait}, {0, end, "p", "b", 1, free}, {0, trial, "p", "c", 1, granted}}},
		{"broken connections only", []suspicion{{0, brk, "p", "a", 1, under}, {0, brk, "p", "b", 1, under}, {0, trial, "p", "c", 1, wait}, {16 * time.Second, trial, "p", "c", 1, free}}},
		{"broken, then new incarnations", []suspicion{{0, renew, "", "a", 1, 0}, {0, brk, "p", "a", 1, under}, {0, renew, "", "a", 2, 0}, {0, brk, "p", "a", 2, under}, {0, trial, "p", "b", 1, wait}, {0, renew, "", "a", 3, 0}, {0, trial, "p", "b", 1, out}}},
		{"entry lost with its trial", []suspicion{{0, renew, "", "b", 1, 0}, {0, crash, "p", "a", 1, under}, {0, trial, "p", "b", 1, granted}, {time.Second, expire, "", "b", 1, 0}, {time.Second, trial, "p", "c", 1, out}}},
		{"late report", []suspicion{{0, renew, "", "a", 2, 0}, {0, brk, "p", "a", 1, under}, {16 * time.Second, trial, "p", "a", 2, granted}, {16 * time.Second, crash, "p", "a", 2, out}}},
		{"end of the trial lost", []suspicion{{0, crash, "p", "a", 1, under}, {0, trial, "p", "b", 1, granted}, {9 * time.Minute, trial, "p", "c", 1, wait}, {11 * time.Minute, trial, "p", "c", 1, granted}}},
		{"lifted", []suspicion{{0, crash, "p", "a", 1, under}, {0, crash, "p", "b", 1, out}, {0, clean, "p", "b", 1, free}, {0, trial, "p", "c", 1, out}, {0, lift, "p", "", 0, free}, {0, trial, "p", "c", 1, free}}},
		{"kept for a day", []suspicion{{0, crash, "p", "a", 1, under}, {0, crash, "p", "b", 1, out}, {Retention, trial, "p", "c", 1, out}, {Retention + time.Minute, trial, "p", "c", 1, free}}},
	} {
		t.Run(k.name, func(t *testing.T) {
			is := is.New(t)
			c := NewConfig()
			nonces := map[string]uint64{} // of the last trial by upstream
			for i, m := range k.moves {
				if m.move == trial {
					nonces[m.upstream] = uint64(i + 1)
				}
				command := &wire.Command{Instant: m.at.Milliseconds() + 1}
				switch m.move {
				case renew:
					command.Body = &wire.Command_Announce{Announce: &wire.AnnounceRequest{Upstream: &wire.Upstream{Name: m.upstream, Incarnation: m.incarnation, Sequence: 1}}}
				case expire:
					command.Body = &wire.Command_Leave{Leave: &wire.LeaveRequest{Name: m.upstream, Incarnation: m.incarnation, Sequence: 1, Expired: true}}
				default:
					command.Body = &wire.Command_Suspect{Suspect: &wire.SuspectRequest{
						Move: m.move, Suspects: []*wire.Suspect{{Fingerprint: m.suspect, Account: "hill"}},
						Upstream: m.upstream, Incarnation: m.incarnation, Owner: "e1", Epoch: 1, Nonce: nonces[m.upstream],
					}}
				}
				r := run(is, c.Apply, command, &wire.SuspectReply{})
				if m.suspect != "" && r.Standings[0] != m.want {
					t.Errorf("move %d: %s, expected %s", i+1, r.Standings[0], m.want)
				}
				c = restored(is, c)
			}
		})
	}
}

// Guards against a trial that nobody ends, which holds up each resend: the request
// for it arrives after its end, or a second copy of it after the first was answered.
func TestLateTrial(t *testing.T) {
	for _, k := range []struct {
		name string
		// moves are those of entry e1 before the late copy of its request with nonce 1.
		moves []wire.Move
		nonce []uint64
	}{
		{"after its end", []wire.Move{end}, []uint64{1}},
		{"copy after its end", []wire.Move{trial, end}, []uint64{1, 1}},
		{"copy after a later trial", []wire.Move{trial, end, trial, end}, []uint64{1, 1, 2, 2}},
	} {
		t.Run(k.name, func(t *testing.T) {
			is := is.New(t)
			c := NewConfig()
			do := func(m wire.Move, owner, upstream string, nonce uint64) wire.Standing {
				r := run(is, c.Apply, &wire.Command{Instant: 1, Body: &wire.Command_Suspect{Suspect: &wire.SuspectRequest{
					Move: m, Suspects: []*wire.Suspect{{Fingerprint: "p", Account: "hill"}},
					Upstream: upstream, Incarnation: 1, Owner: owner, Epoch: 1, Nonce: nonce,
				}}}, &wire.SuspectReply{})
				c = restored(is, c)
				return r.Standings[0]
			}
			do(crash, "e1", "a", 0)
			for i, m := range k.moves {
				do(m, "e1", "b", k.nonce[i])
			}
			is.Equal(do(trial, "e1", "b", 1), occupied)
			is.Equal(do(trial, "e2", "c", 1), granted)
		})
	}
	// A copy that arrives while its trial runs gets the answer of the first.
	is := is.New(t)
	c := NewConfig()
	for i, m := range []wire.Move{crash, trial, trial} {
		r := run(is, c.Apply, &wire.Command{Instant: 1, Body: &wire.Command_Suspect{Suspect: &wire.SuspectRequest{
			Move: m, Suspects: []*wire.Suspect{{Fingerprint: "p"}}, Upstream: []string{"a", "b", "b"}[i], Incarnation: 1, Owner: "e1", Nonce: 1,
		}}}, &wire.SuspectReply{})
		is.Equal(r.Standings[0], []wire.Standing{under, granted, granted}[i])
	}
}
