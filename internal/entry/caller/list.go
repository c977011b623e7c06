package caller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// sendJSON writes v as the JSON body of a successful answer.
func (q *request) sendJSON(v any) error {
	q.writer.Header().Set("Content-Type", "application/json")
	// A caller that has disconnected can't be told about a write error.
	_ = json.NewEncoder(q.writer).Encode(v)
	return nil
}

// modelBody is one model or cascade in the list of models, in the form of the OpenAI API.
type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"`
}

// models serves GET /v1/models: the models and cascades that the account may use.
func (h *Handler) models(_ context.Context, q *request) error {
	c, err := h.leasedConfig()
	if err != nil {
		return err
	}
	list := []modelBody{}
	for _, d := range c.Documents {
		a, ok := d.Account(q.account)
		if !ok || d.Kind != document.KindEngine {
			continue
		}
		for _, n := range modelNames(d) {
			if a.PermitsModel(n) {
				list = append(list, modelBody{ID: string(n), Object: "model", Owner: string(d.Service)})
			}
		}
	}
	slices.SortFunc(list, func(x, y modelBody) int {
		return strings.Compare(x.ID+"\x00"+x.Owner, y.ID+"\x00"+y.Owner)
	})
	return q.sendJSON(struct {
		Object string      `json:"object"`
		Data   []modelBody `json:"data"`
	}{"list", list})
}

// modelNames returns the names of the document's models and cascades.
func modelNames(d *document.Document) (list []document.Model) {
	for _, m := range d.Models {
		list = append(list, m.Name)
	}
	for _, c := range d.Cascades {
		list = append(list, c.Name)
	}
	return list
}

// entryBody is one entry in a list of entries.
type entryBody struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
}

// entries serves GET /v1/entries: the entries that a caller may connect to, those in
// this entry's availability zone first, in an order that differs between callers.
func (h *Handler) entries(_ context.Context, q *request) error {
	self := h.options.Self
	list := slices.Clone(h.control.Entries())
	if !slices.ContainsFunc(list, func(e *wire.Instance) bool { return e.Name == self.GetName() }) && self != nil {
		list = append(list, self)
	}
	listSelf := h.drainState.recordListed(h.timer.Now())
	list = slices.DeleteFunc(list, func(e *wire.Instance) bool {
		return e.Draining || (e.Name == self.GetName() && !listSelf)
	})
	return q.sendJSON(newEntriesBody(list, self, q.httpRequest.RemoteAddr+" "+string(q.account), h.options.EntryListLifetime))
}

// entriesBody is a list of entries for a caller.
type entriesBody struct {
	Entries []entryBody `json:"entries"`
	// Lifetime is how long the caller may use the list, in milliseconds.
	Lifetime int64 `json:"lifetime"`
}

// newEntriesBody orders the entries by distance from self. The seed, which differs
// between callers, shuffles entries at the same distance, so that the callers spread
// over them.
func newEntriesBody(list []*wire.Instance, self *wire.Instance, seed string, lifetime time.Duration) entriesBody {
	slices.SortFunc(list, func(x, y *wire.Instance) int { return strings.Compare(x.Name, y.Name) })
	r := rand.New(rand.NewPCG(xxhash.Sum64String(seed), 0))
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(x, y *wire.Instance) int {
		return distance(x, self) - distance(y, self)
	})
	bodies := make([]entryBody, 0, len(list))
	for _, e := range list {
		bodies = append(bodies, entryBody{Name: e.Name, Address: e.Address, Zone: e.Zone, Region: e.Region})
	}
	return entriesBody{Entries: bodies, Lifetime: lifetime.Milliseconds()}
}

// distance returns 0 in the same availability zone, 1 in the same region, else 2.
func distance(e, self *wire.Instance) int {
	switch {
	case e.Zone == self.GetZone():
		return 0
	case e.Region == self.GetRegion():
		return 1
	}
	return 2
}

// fairnessBody is the row of one account in the answer to GET /v1/fairness.
type fairnessBody struct {
	Account  string `json:"account"`
	Requests uint64 `json:"requests"`
	Refusals uint64 `json:"refusals"`
	// Waits is a histogram of the waits in queues: element i counts those shorter than
	// 2^i ms that no earlier element counts, the last one counts all longer ones.
	Waits []uint64 `json:"waits"`
	// Totals are the sums of the account's charges per service.
	Totals []totalBody `json:"totals"`
}

// totalBody is the sum of an account's charges at one service: Amount is what the account
// was charged, Cost what all attempts cost, including failed ones.
type totalBody struct {
	Service  string `json:"service"`
	Requests uint64 `json:"requests"`
	Input    uint64 `json:"input"`
	Output   uint64 `json:"output"`
	Amount   uint64 `json:"amount"`
	Cost     uint64 `json:"cost"`
}

// fairness serves GET /v1/fairness. It shows the counts of all accounts to each
// account, so that small accounts can check that large ones are not served at their
// expense.
func (h *Handler) fairness(ctx context.Context, q *request) (err error) {
	ctx, span := h.options.Tracer.Start(ctx, "control ledger")
	reply, err := h.control.Ledger(ctx, &wire.LedgerRequest{})
	endSpan(span, err)
	if err != nil {
		return err
	}
	rows := map[string]*fairnessBody{}
	row := func(account string) *fairnessBody {
		b, ok := rows[account]
		if !ok {
			b = &fairnessBody{Account: account, Waits: []uint64{}, Totals: []totalBody{}}
			rows[account] = b
		}
		return b
	}
	for _, t := range h.control.Tallies() {
		b := row(t.Account)
		b.Requests, b.Refusals, b.Waits = t.Requests, t.Refusals, append(b.Waits, t.Waits...)
	}
	for _, t := range reply.GetTotals() {
		b := row(t.Account)
		b.Totals = append(b.Totals, totalBody{t.Service, t.Requests, t.Input, t.Output, t.Amount, t.Cost})
	}
	list := make([]*fairnessBody, 0, len(rows))
	for _, b := range rows {
		list = append(list, b)
	}
	slices.SortFunc(list, func(x, y *fairnessBody) int { return strings.Compare(x.Account, y.Account) })
	return q.sendJSON(struct {
		Accounts []*fairnessBody `json:"accounts"`
	}{list})
}
