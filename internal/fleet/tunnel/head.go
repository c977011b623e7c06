package tunnel

import (
	"bufio"
	"bytes"
	"net/http"
)

// maxHeadBytes limits what is kept of a response to find the end of its head. A longer head is passed on
// and not read.
const maxHeadBytes = 16 << 10

// maxStatus is the largest status of HTTP.
const maxStatus = 599

// headEnd ends the head of a response.
var headEnd = []byte("\r\n\r\n")

// responseHead collects the head of a response from the bytes that pass.
type responseHead struct {
	buffer []byte
	done   bool
}

// add adds bytes of the response. It returns the head, once, when its end is among them. Interim
// responses are skipped, and a response with a status that is none of HTTP is not read.
func (h *responseHead) add(b []byte) *http.Response {
	if h.done || len(b) == 0 {
		return nil
	}
	searched := max(len(h.buffer)-len(headEnd)+1, 0)
	h.buffer = append(h.buffer, b...)
	for {
		at := bytes.Index(h.buffer[searched:], headEnd)
		if at < 0 {
			if len(h.buffer) > maxHeadBytes {
				h.done, h.buffer = true, nil
			}
			return nil
		}
		end := searched + at + len(headEnd)
		r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(h.buffer[:end])), nil)
		if err == nil && isInterim(r.StatusCode) {
			h.buffer, searched = h.buffer[end:], 0
			continue
		}
		h.done, h.buffer = true, nil
		if err != nil || r.StatusCode < http.StatusOK || r.StatusCode > maxStatus {
			return nil // not a response; the instance that reads it will say so
		}
		return r
	}
}

// isInterim reports whether another response follows one with a status. None follows a 101, which was
// not asked for.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
