// Package state holds the deterministic state machines of the control groups:
// Config for group 0 and Data for the data groups. A command is a marshalled
// wire Command; a result is the marshalled reply of the call it carries.
package state

import (
	"time"

	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Retention is how long receipts, claims and pins are kept, counted by the
// instants in the log and never by a local clock, so that all replicas agree.
const Retention = 24 * time.Hour

var (
	_ replica.StateMachine = (*Config)(nil)
	_ replica.StateMachine = (*Data)(nil)
)

// fault returns a fault for a reply; code OK is represented by nil.
func fault(code wire.Code, text string) *wire.Fault {
	return &wire.Fault{Code: code, Text: text}
}

// encode marshals a reply. Maps do not occur in the messages, so that the
// encoding of equal replies is equal on all replicas.
func encode(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Only a string that is not UTF-8 gets here; it is refused on decoding.
		b, _ = proto.Marshal(&wire.ApplyReply{Fault: fault(wire.Code_CODE_INVALID, "reply cannot be encoded")})
	}
	return b
}

// malformed is the result of a command that a group does not know. The fault is
// field 1 of every reply.
func malformed(text string) []byte {
	return encode(&wire.ApplyReply{Fault: fault(wire.Code_CODE_INVALID, text)})
}

// horizon tells the instant before which records are dropped.
func horizon(instant int64) int64 { return instant - Retention.Milliseconds() }
