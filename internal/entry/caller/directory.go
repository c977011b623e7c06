package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/entry/upstream"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// StatusReader reads the status of the control group, which lists the leases of entries.
type StatusReader interface {
	Status(ctx context.Context, r *wire.StatusRequest) (*wire.StatusReply, error)
}

// Directory serves GET /v1/entries on an instance that is not an entry itself, so that
// callers can ask any instance for the entries.
type Directory struct {
	status      StatusReader
	credentials Credentials
	self        *wire.Instance
	lifetime    time.Duration
}

// NewDirectory returns a directory. Entries in the availability zone of self are listed
// first, then those in its region. Callers may use a list for the lifetime.
func NewDirectory(s StatusReader, c Credentials, self *wire.Instance, lifetime time.Duration) *Directory {
	return &Directory{status: s, credentials: c, self: self, lifetime: lifetime}
}

// Register adds the directory's route to the mux.
func (d *Directory) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/entries", d.serve)
}

func (d *Directory) serve(w http.ResponseWriter, r *http.Request) {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	account, ok := d.credentials.Account(token)
	if !ok {
		w.Header().Set("WWW-Authenticate", "Bearer")
		(&refusal{
			status: http.StatusUnauthorized, kind: kindCredential, code: "credential",
			message: "a valid credential is needed", outcome: upstream.NotRun,
		}).send(w)
		return
	}
	reply, err := d.status.Status(r.Context(), &wire.StatusRequest{})
	if err != nil {
		(&refusal{
			status: http.StatusServiceUnavailable, kind: kindCapacity, code: "control",
			message: "the list of entries is not available now", outcome: upstream.NotRun, retryAfter: time.Second,
		}).send(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.body(reply, account, r.RemoteAddr))
}

// body lists the entries that hold a lease and don't drain, in the caller's order.
func (d *Directory) body(reply *wire.StatusReply, account document.Account, remote string) entriesBody {
	var list []*wire.Instance
	for _, l := range reply.Leases {
		if l.Left > 0 && !l.GetInstance().GetDraining() {
			list = append(list, l.Instance)
		}
	}
	return newEntriesBody(list, d.self, remote+" "+string(account), d.lifetime)
}
