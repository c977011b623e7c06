package upstream

import (
	"bufio"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxInterimResponses limits the interim responses before a response. An upstream has reason to send one
// 100, one 103 and, while it works, a few 102; more bytes than maxHeaderBytes end the exchange before.
const maxInterimResponses = 16

// maxStatus is the largest status of HTTP.
const maxStatus = 599

// ErrInvalidStatus means that the status of a response is none that a response to a request may have.
var ErrInvalidStatus = errors.New("response has an invalid status")

// readHead reads the head of the next response that is not interim, for a request with a method.
func readHead(reader *bufio.Reader, method string) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		r, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "read response header")
		}
		switch status := r.StatusCode; {
		// What follows a 101, which was not asked for, or a status below 100 is no HTTP.
		case status < http.StatusContinue, status == http.StatusSwitchingProtocols, status > maxStatus:
			return nil, errors.Wrapf(ErrInvalidStatus, "status %d", status)
		case status >= http.StatusOK:
			return r, nil
		}
	}
	return nil, errors.New("too many interim responses")
}
