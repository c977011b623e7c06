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

// RunCounts is what a service counted since its start.
type RunCounts struct {
	// Started counts runs begun, Cancelled those that ended because the connection closed.
	Started   int `json:"total"`
	Cancelled int `json:"cancelled"`
	Finished  int `json:"finished"`
	// ByID counts runs begun per identity.
	ByID map[string]int `json:"runs"`
}

// RunCounter counts runs per identity: the request id, or the idempotency key of a
// call that must not be repeated.
type RunCounter struct {
	mu      sync.Mutex
	tally   RunCounts
	journal *os.File
}

// OpenJournal adds the runs that a file lists and appends each further one to it
// before it begins, so that the counts outlive a crash of the process.
func (r *RunCounter) OpenJournal(path string) (err error) {
	if err = r.ReadJournal(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	r.journal, err = os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return errors.Wrap(err, "open journal of runs")
}

// ReadJournal adds the runs that a file lists.
func (r *RunCounter) ReadJournal(path string) (err error) {
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

// RequestID returns the caller's request identity; an entry appends "~" and a part
// of its own.
func RequestID(r *http.Request) string {
	id, _, _ := strings.Cut(r.Header.Get("X-Request-Id"), "~")
	return id
}

// Begin counts one run and returns how many there are for that identity.
func (r *RunCounter) Begin(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tally.ByID == nil {
		r.tally.ByID = map[string]int{}
	}
	if r.journal != nil {
		_, _ = r.journal.WriteString(id + "\n")
	}
	r.tally.Started++
	r.tally.ByID[id]++
	return r.tally.ByID[id]
}

// End counts the end of a run.
func (r *RunCounter) End(cancelled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancelled {
		r.tally.Cancelled++
		return
	}
	r.tally.Finished++
}

// Counts returns a copy of the counts.
func (r *RunCounter) Counts() RunCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tally
	t.ByID = maps.Clone(t.ByID)
	return t
}

// Register serves the counts on GET /runs.
func (r *RunCounter) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.Counts()) })
}
