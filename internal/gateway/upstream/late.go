package upstream

import "time"

// lateHeaderTime is how long a response may begin after its caller has gone. One that is on its way arrives
// within a round trip. A longer wait would keep a connection of an upstream that runs the request to its end.
const lateHeaderTime = 250 * time.Millisecond

// interrupt ends the exchange on the connection. While the response has not begun, only the sending
// side is closed, so that the upstream stops work and the head of a response on its way can still be read.
func (c *conn) interrupt() {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || !c.awaitsHeader.Load() {
		c.abort()
		return
	}
	c.interrupted.Store(true)
	if c.SetReadDeadline(time.Unix(1, 0)) != nil || w.CloseWrite() != nil {
		c.abort()
	}
}

// awaitHeader waits for the first byte of the response. It returns false if the exchange was interrupted
// before. Another error shows when the header is read.
func (r *Response) awaitHeader() bool {
	r.conn.awaitsHeader.Store(true)
	_, err := r.conn.reader.Peek(1)
	r.conn.awaitsHeader.Store(false)
	return err == nil || !r.conn.interrupted.Load()
}

// readLate reads the head of a response whose caller has gone, and closes the connection. A leave or
// a pause that it states counts although nobody waits for the response.
func (r *Response) readLate(q *Request) {
	defer r.Close()
	stop := r.client.timer.AfterFunc(lateHeaderTime, r.abort)
	defer stop()
	if r.conn.SetReadDeadline(time.Time{}) != nil || r.readHeader(q) != nil || q.OnLateResponse == nil {
		return
	}
	q.OnLateResponse(r.Status, r.Header)
}
