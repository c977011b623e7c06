package replica

import (
	"context"
	"crypto/subtle"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmetadata"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// tokenKey is the metadata key of the peer token.
const tokenKey = "peer"

// DRPC error codes of refused calls.
const (
	codeWrongToken = 1 + iota
	codeUnknownGroup
	codeWrongTarget
)

// Server serves the Replica RPC service for all groups of a process.
type Server struct {
	// PeerToken is the token that every call must carry. While it is empty, every call is
	// refused.
	PeerToken string

	nodes map[GroupID]*Node
}

var _ wire.DRPCReplicaServer = (*Server)(nil)

// NewServer returns a server for the nodes. The caller must set its PeerToken.
func NewServer(nodes map[GroupID]*Node) *Server { return &Server{nodes: nodes} }

// CheckPeerToken returns an error unless the call carries the peer token. It compares in
// constant time.
func CheckPeerToken(ctx context.Context, token string) error {
	metadata, _ := drpcmetadata.Get(ctx)
	if token == "" || subtle.ConstantTimeCompare([]byte(metadata[tokenKey]), []byte(token)) != 1 {
		return drpcerr.WithCode(errors.New("wrong peer token"), codeWrongToken)
	}
	return nil
}

// WithPeerToken adds the peer token to the metadata of a call.
func WithPeerToken(ctx context.Context, token string) context.Context {
	return drpcmetadata.Add(ctx, tokenKey, token)
}

// node checks the peer token of a call and returns the node of the group.
func (s *Server) node(ctx context.Context, group uint32) (*Node, error) {
	if err := CheckPeerToken(ctx, s.PeerToken); err != nil {
		return nil, err
	}
	n, ok := s.nodes[GroupID(group)]
	if !ok {
		return nil, drpcerr.WithCode(errors.Newf("no group %d here", group), codeUnknownGroup)
	}
	return n, nil
}

// Append passes the call to the node of the group.
func (s *Server) Append(ctx context.Context, r *wire.AppendRequest) (*wire.AppendReply, error) {
	n, err := s.node(ctx, r.GetGroup())
	if err != nil {
		return nil, err
	}
	reply, err := n.Append(ctx, r)
	return reply, withCode(err)
}

// Vote passes the call to the node of the group.
func (s *Server) Vote(ctx context.Context, r *wire.VoteRequest) (*wire.VoteReply, error) {
	n, err := s.node(ctx, r.GetGroup())
	if err != nil {
		return nil, err
	}
	reply, err := n.Vote(ctx, r)
	return reply, withCode(err)
}

// Install passes the call to the node of the group.
func (s *Server) Install(ctx context.Context, r *wire.InstallRequest) (*wire.InstallReply, error) {
	n, err := s.node(ctx, r.GetGroup())
	if err != nil {
		return nil, err
	}
	reply, err := n.Install(ctx, r)
	return reply, withCode(err)
}

// withCode adds a DRPC error code to ErrWrongTarget.
func withCode(err error) error {
	if errors.Is(err, ErrWrongTarget) {
		return drpcerr.WithCode(err, codeWrongTarget)
	}
	return err
}
