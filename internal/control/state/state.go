// Package state implements the deterministic state machines of the replicated control
// groups: Config for group 0 and Data for the data groups. A command is a marshaled
// wire.Command; its result is the marshaled reply to the RPC that it carries.
package state

import (
	"time"

	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Retention is how long receipts, claims, pins and suspicions are kept. It is measured by the
// instants in the log and never by a local clock, so that all replicas agree.
const Retention = 24 * time.Hour

var (
	_ replica.StateMachine = (*Config)(nil)
	_ replica.StateMachine = (*Data)(nil)
)

// fault returns a fault for a reply. Success is represented by a nil fault.
func fault(code wire.Code, text string) *wire.Fault {
	return &wire.Fault{Code: code, Text: text}
}

// encodeReply marshals a reply. The messages contain no maps, so equal replies have
// equal encodings on all replicas.
func encodeReply(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Marshaling fails only for strings that are not UTF-8, and decoding a command rejects those.
		b, _ = proto.Marshal(&wire.ApplyReply{Fault: fault(wire.Code_CODE_INVALID, "reply cannot be encoded")})
	}
	return b
}

// invalidCommand returns the result of a command that the group does not support. The
// fault is field 1 of every reply message, so any reply type can decode it.
func invalidCommand(text string) []byte {
	return encodeReply(&wire.ApplyReply{Fault: fault(wire.Code_CODE_INVALID, text)})
}

// retentionCutoff returns the instant before which records have expired.
func retentionCutoff(instant int64) int64 { return instant - Retention.Milliseconds() }
