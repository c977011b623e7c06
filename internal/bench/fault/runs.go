package fault

import (
	"bufio"
	"io/fs"
	"maps"
	"net/http"
	"os"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// Tally is what a service counted since its start.
type Tally struct {
	// Total counts runs begun, Cancelled those that ended because the connection closed.
	Total     int `json:"total"`
	Cancelled int `json:"cancelled"`
	Finished  int `json:"finished"`
	// Runs counts runs begun per identity.
	Runs map[string]int `json:"runs"`
}

// Runs counts runs per identity: the request id, or the idempotency key of a
// call that must not be repeated.
type Runs struct {
	mu      sync.Mutex
	tally   Tally
	journal *os.File
}

// Open adds the runs that a file lists and appends each further one to it
// before it begins, so that the counts outlive a crash of the process.
func (r *Runs) Open(path string) (err error) {
	if err = r.Read(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	r.journal, err = os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return errors.Wrap(err, "open journal of runs")
}

// Read adds the runs that a file lists.
func (r *Runs) Read(path string) (err error) {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "read journal of runs")
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		r.Begin(lines.Text())
	}
	return errors.Wrap(lines.Err(), "read journal of runs")
}

// RequestOf returns the caller's request identity; an entry appends "~" and a part
// of its own.
func RequestOf(r *http.Request) string {
	id, _, _ := strings.Cut(r.Header.Get("X-Request-Id"), "~")
	return id
}

// Begin counts one run and returns how many there are for that identity.
func (r *Runs) Begin(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tally.Runs == nil {
		r.tally.Runs = map[string]int{}
	}
	if r.journal != nil {
		_, _ = r.journal.WriteString(id + "\n")
	}
	r.tally.Total++
	r.tally.Runs[id]++
	return r.tally.Runs[id]
}

// End counts the end of a run.
func (r *Runs) End(cancelled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancelled {
		r.tally.Cancelled++
		return
	}
	r.tally.Finished++
}

// Tally returns a copy of the counts.
func (r *Runs) Tally() Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tally
	t.Runs = maps.Clone(t.Runs)
	return t
}

// Register serves the counts on GET /runs.
func (r *Runs) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.Tally()) })
}
