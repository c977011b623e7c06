package caller

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// send sends one request as the account town, unless the headers say otherwise, and
// returns the response and its body.
func send(t *testing.T, method, url, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	is.New(t).NoErr(err)
	r.Header.Set("Authorization", "Bearer town")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	is.New(t).NoErr(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	is.New(t).NoErr(err)
	return resp, string(b)
}

// chatBody returns the body of a chat completion request.
func chatBody(model string, stream bool) string {
	if stream {
		return `{"model":"` + model + `","stream":true,"messages":[{"role":"user","content":"hi"}]}`
	}
	return `{"model":"` + model + `","messages":[{"role":"user","content":"hi"}]}`
}

// Guards against answers that are delivered without a charge or charged more than once.
func TestChatIsAnsweredAndChargedOnce(t *testing.T) {
	for _, stream := range []bool{false, true} {
		is := is.New(t)
		f := newFakeControl(poolDocument())
		startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", words: []string{"a", "b", "c"}, breakAfter: -1})
		_, s := newHandler(t, f, nil)
		resp, body := send(t, "POST", s.URL+"/v1/chat/completions", chatBody("small", stream), "X-Request-Id", "r-1")
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(resp.Header.Get("X-Request-Id"), "r-1")
		is.Equal(resp.Header.Get("Wisteriakeel-Model"), "small@v1")
		if stream {
			is.True(strings.HasSuffix(body, "data: [DONE]\n\n"))
			is.True(!strings.Contains(body, "usage")) // the caller didn't ask for it
		}
		charges := f.recordedCharges()
		is.Equal(len(charges), 1)
		is.Equal(charges[0].Request, "r-1")
		is.Equal(charges[0].Amount, uint64(5*1+3*2))
		is.Equal(len(charges[0].Costs), 1)
	}
}

// Guards against a call that must run at most once running again when the caller resends
// it with the same key.
func TestBookingRunsOnce(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(deskDocument())
	d := startBookingService(t, f, "d1", nil)
	_, s := newHandler(t, f, nil)
	url := s.URL + "/v1/services/desk/bookings"
	for range 2 {
		resp, body := send(t, "POST", url, `{"room":1}`, "Idempotency-Key", "k1")
		is.Equal(resp.StatusCode, http.StatusCreated)
		is.Equal(body, `{"booking":1}`)
	}
	is.Equal(d.runCount(), 1)
	is.Equal(len(f.recordedCharges()), 1)
	resp, body := send(t, "POST", url, `{"room":2}`, "Idempotency-Key", "k1")
	is.Equal(resp.StatusCode, http.StatusUnprocessableEntity)
	is.True(strings.Contains(body, `"outcome":"not run"`))
	resp, _ = send(t, "POST", url, `{"room":2}`)
	is.Equal(resp.StatusCode, http.StatusBadRequest)
	is.Equal(d.runCount(), 1)
}
