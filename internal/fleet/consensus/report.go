package consensus

import (
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// slowVote is how long after its start a replica may have no vote without a warning. A new or empty
// instance counts again after 4 s on the smallest deployments, and the next one may be lost then.
const slowVote = 3 * time.Second

// reporter logs how well the group bears further losses, for the analysis of failures. It belongs to
// the goroutine of loop.
type reporter struct {
	timer     timer.Service
	log       *zap.Logger
	startedAt timer.Instant
	voting    bool // this replica has a vote
	warned    bool // that it has none
	losses    int  // that the group bears; -1 if not known
}

func newReporter(t timer.Service, log *zap.Logger) *reporter {
	return &reporter{timer: t, log: log, startedAt: t.Now(), losses: -1}
}

// reportVote logs when this replica gets or loses its vote, and once if it has none for long.
func (r *reporter) reportVote(self replica.Identity, members []replica.Member) {
	voting := hasVote(members, self)
	since := r.timer.Now().Sub(r.startedAt)
	level, message := zap.WarnLevel, ""
	switch {
	case voting && !r.voting:
		message = "replica has a vote"
		if since < slowVote {
			level = zap.InfoLevel
		}
	case r.voting && !voting:
		message = "replica has lost its vote"
	case !voting && !r.warned && since >= slowVote:
		r.warned = true
		message = "replica has no vote yet"
	default:
		return
	}
	r.voting = voting
	r.log.Log(level, message, zap.String("identity", string(self)), zap.Int("members", len(members)), zap.Duration("sinceStart", since))
}

// reportLosses logs how many further voters the group can lose, whenever that changes while this
// replica leads.
func (r *reporter) reportLosses(o Observation) {
	var voters int
	var missing []string
	for _, m := range o.Members {
		if !m.Voter {
			continue
		}
		voters++
		if _, lost := o.Unreachable[m.Identity]; lost {
			missing = append(missing, string(m.Address))
		}
	}
	losses := voters - len(missing) - (voters/2 + 1)
	if losses == r.losses {
		return
	}
	r.losses = losses
	fields := []zap.Field{zap.Int("losses", losses), zap.Int("voters", voters), zap.Strings("missing", missing)}
	if losses < 1 {
		r.log.Warn("control group bears no further loss", fields...)
		return
	}
	r.log.Info("control group bears further losses", fields...)
}

// forgetLosses makes the next report of this replica as leader log the losses again.
func (r *reporter) forgetLosses() { r.losses = -1 }
