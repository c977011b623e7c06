package caller

import (
	"context"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/gateway/upstream"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// crashProbe checks whether an upstream has crashed after a connection to it broke while
// a request was running. A broken connection alone does not implicate the request, because
// the network can break it too.
type crashProbe struct {
	*Handler
	crash  *wire.Crash
	target upstream.Target
	zone   string // of the target
}

// run reports a crash if the upstream no longer accepts connections. Upstreams of evacuated zones are not
// probed: no connections may be opened to them, and their end is to be expected.
func (p *crashProbe) run() {
	if p.View.Evacuated(p.zone) {
		p.Log.Debug("upstream not probed, its zone is evacuated", zap.String("upstream", p.crash.GetUpstream()))
		return
	}
	ctx, cancel := timer.WithTimeout(context.Background(), p.Timer, crashProbeTimeout)
	defer cancel()
	if p.Upstream.AcceptsConnections(ctx, p.target) {
		return
	}
	p.Log.Info("upstream crashed while it ran a request", zap.String("upstream", p.crash.GetUpstream()),
		zap.Uint64("fingerprint", p.crash.GetFingerprint()))
	p.View.SuspectRestart(p.target.ID, p.target.Born)
	p.View.RecordCrash(p.crash)
}
