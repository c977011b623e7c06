package server

import (
	"crypto/subtle"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmetadata"
)

// codeWrongToken is the drpc error code of a call with a wrong peer token. The client has
// the same constant.
const codeWrongToken = 16

// tokenCheck passes only calls with the right peer token to the handler.
type tokenCheck struct {
	handler drpc.Handler
	token   []byte
}

// HandleRPC rejects a call without the token before its message is read.
func (c *tokenCheck) HandleRPC(stream drpc.Stream, rpc string) error {
	metadata, _ := drpcmetadata.Get(stream.Context())
	if subtle.ConstantTimeCompare([]byte(metadata["peer"]), c.token) != 1 {
		return drpcerr.WithCode(errors.New("wrong peer token; nothing was done"), codeWrongToken)
	}
	return c.handler.HandleRPC(stream, rpc)
}
