package state

import (
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// pinKey identifies a pin by client account, service, session and model.
type pinKey struct {
	account string
	service string
	session string
	model   string
}

// pin is the model version that a session stays on.
type pin struct {
	version string
	// revision is the configuration revision under which the pin was created or last moved.
	revision uint64
	// instant is that of the last command for the pin, in milliseconds since 1970.
	instant int64
}

// setPin creates or moves the pin of a session. A move made under an older
// configuration than the pin's has no effect. Every request renews the retention of an
// existing pin, so that an active session keeps its version.
func (d *Data) setPin(r *wire.PinRequest) *wire.PinReply {
	if r.Account == "" || r.Session == "" || r.Version == "" {
		return &wire.PinReply{Fault: fault(wire.Code_CODE_INVALID, "pin needs account, session and version")}
	}
	k := pinKey{account: r.Account, service: r.Service, session: r.Session, model: r.Model}
	p := d.pins[k]
	won := false
	switch {
	case p == nil && r.From != "":
		return &wire.PinReply{Fault: fault(wire.Code_CODE_MISSING, "the session has no pin to move")}
	case p == nil:
		p, won = &pin{version: r.Version, revision: r.Revision}, true
		d.pins[k] = p
	case r.From != "" && p.version == r.From && r.Revision >= p.revision:
		p.version, p.revision, won = r.Version, r.Revision, true
	}
	if p.instant != d.instant || won {
		p.instant = d.instant
		d.pinExpiry.add(k, d.instant)
	}
	return &wire.PinReply{Version: p.version, Won: won, Revision: p.revision}
}

// Pin returns the version that a session is pinned to, or an empty reply if it has no pin.
func (d *Data) Pin(r *wire.PinRequest) *wire.PinReply {
	d.mu.RLock()
	defer d.mu.RUnlock()
	p := d.pins[pinKey{account: r.Account, service: r.Service, session: r.Session, model: r.Model}]
	if p == nil {
		return &wire.PinReply{}
	}
	return &wire.PinReply{Version: p.version, Revision: p.revision}
}
