package caller

import (
	"context"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// prober finds out whether an upstream whose connection broke has crashed. A broken
// connection alone is no evidence against the request: answers get lost on the way too.
type prober struct {
	*Handler
	crash   *wire.Crash
	address string
}

func (p *prober) run() {
	ctx, cancel := timer.WithTimeout(context.Background(), p.Timer, probeLimit)
	defer cancel()
	if p.Upstream.AcceptsConnections(ctx, p.address) {
		return
	}
	p.Log.Info("upstream crashed while it ran a request", zap.String("upstream", p.crash.GetUpstream()),
		zap.Uint64("fingerprint", p.crash.GetFingerprint()))
	p.View.RecordCrash(p.crash)
}
