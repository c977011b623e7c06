package upstream

import (
	"time"

	"github.com/cockroachdb/errors"
)

// maxSendTime limits how long the rest of a request may take once the connection has ended in the other
// direction. A write to an upstream that has gone fails within a round trip; only one that reads on after
// its response takes longer.
const maxSendTime = time.Second

// awaitSent waits until the request is sent and returns the error of that. A connection that is not done
// after maxSendTime is closed, which ends the write.
func (r *Response) awaitSent() error {
	if r.sendResult == nil {
		return r.sendErr
	}
	stop := r.client.timer.AfterFunc(maxSendTime, r.abort)
	defer stop()
	r.sendErr = <-r.sendResult
	r.sendResult = nil
	return r.sendErr
}

// checkEnd returns the error of a body that has ended. The end of the connection is the end of the body
// only if the request was sent: a reset is reported once, and a write takes it from the read.
func (r *Response) checkEnd() error {
	if r.Framing != FramingClose {
		return nil
	}
	if err := r.awaitSent(); err != nil {
		// Readers take an io.EOF for the end of the body, so the error must not match one.
		return errors.Wrap(errors.Handled(err), "request was not sent completely")
	}
	return nil
}
