package view

import (
	"wisteriakeel.example/wisteriakeel/internal/fleet/suspect"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// applyParts stores the quarantined parts of prompts and the parts whose responses the leader
// wants to know. v.mu must be held.
func (v *View) applyParts(r *wire.SyncReply) {
	if list := r.GetWatched(); len(list) > 0 {
		watched := make([]suspect.Part, 0, len(list))
		for _, p := range list {
			watched = append(watched, suspect.Part(p))
		}
		v.responses.Watch(watched, v.options.Timer.Now())
	}
	if list := r.GetQuarantinedParts(); len(list) > 0 {
		parts := make(map[suspect.Part]bool, len(list))
		for _, p := range list {
			parts[suspect.Part(p)] = true
		}
		v.quarantinedParts.Store(&parts)
	}
}

// QuarantinedPart returns the first of the parts of a prompt that is in quarantine.
func (v *View) QuarantinedPart(parts []suspect.Part) (p suspect.Part, ok bool) {
	quarantined := *v.quarantinedParts.Load()
	if len(quarantined) == 0 {
		return "", false
	}
	for _, p := range parts {
		if quarantined[p] {
			return p, true
		}
	}
	return "", false
}

// RecordResponse records that an upstream has responded to a request with these parts in its prompt.
func (v *View) RecordResponse(parts []suspect.Part) {
	if len(parts) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.responses.Record(parts, v.options.Timer.Now())
}
