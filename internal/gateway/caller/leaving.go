package caller

import (
	"net/http"

	"go.uber.org/zap"
)

// leavingValue is the value of the header by which an upstream states that it leaves.
const leavingValue = "1"

// readLeaving reads whether the upstream leaves. It gets no more requests then, until a later
// incarnation announces itself.
func (s *statement) readLeaving() {
	value := s.header.Get(s.Protocol.Leaving)
	if value == "" || s.status == http.StatusMisdirectedRequest {
		return
	}
	if value == leavingValue {
		if s.View.RecordLeaving(s.upstream, s.born) {
			s.metrics.Leaves.Add(1)
			s.log("upstream leaves", zap.String("upstream", s.upstream), zap.Int64("born", s.born))
		}
		return
	}
	if _, known := s.invalidLeaving.LoadOrStore(incarnation{s.upstream, s.born}, true); !known {
		s.log("upstream states an invalid leave", zap.String("upstream", s.upstream), zap.Int64("born", s.born), zap.String("value", value))
	}
}

// incarnation identifies one start of an upstream.
type incarnation struct {
	upstream string
	born     int64
}
