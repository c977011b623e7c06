package caller

import (
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/entry/route"
	"wisteriakeel.example/wisteriakeel/internal/entry/upstream"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
	"wisteriakeel.example/wisteriakeel/internal/observe/metric"
)

// pauseUpstream stops requests to an upstream that has asked for a pause.
func (h *Handler) pauseUpstream(p upstream.Pause) {
	metric.Int("caller.pauses").Add(1)
	name := zap.String("upstream", p.Upstream.Name)
	if p.Err != nil {
		h.log.Info("upstream asks for an invalid pause", name, zap.String("value", p.Value), journal.Error(p.Err))
	}
	if h.pool.Pause(p.Upstream.Name, p.Upstream.Incarnation, p.Duration) {
		h.log.Info("upstream asks for a pause", name, zap.Uint64("born", p.Upstream.Incarnation), zap.String("value", p.Value),
			zap.Duration("pause", p.Duration), zap.String("request", p.Request))
	}
}

// pickUpstream selects an upstream that meets the requirements.
func (h *Handler) pickUpstream(c *control.Config, r route.Requirements) (*route.Selection, error) {
	k, err := h.pool.Pick(c, h.control.Loads(), r)
	if err == nil && k.PauseOver {
		h.log.Info("pause of an upstream is over", zap.String("upstream", k.Upstream.Name))
	}
	return k, err
}
