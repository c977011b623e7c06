package server

import (
	"crypto/subtle"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmetadata"
)

// codeToken marks the error of a call with a wrong peer token.
const codeToken = 16

// guard lets only calls with the peer token through.
type guard struct {
	handler drpc.Handler
	token   []byte
}

// HandleRPC refuses a call without the token before its message is read.
func (g *guard) HandleRPC(stream drpc.Stream, rpc string) error {
	metadata, _ := drpcmetadata.Get(stream.Context())
	if subtle.ConstantTimeCompare([]byte(metadata["peer"]), g.token) != 1 {
		return drpcerr.WithCode(errors.New("wrong peer token; nothing was done"), codeToken)
	}
	return g.handler.HandleRPC(stream, rpc)
}
