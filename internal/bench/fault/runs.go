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

// RunCounts holds the run counts of a service.
type RunCounts struct {
	// Started counts all runs, Cancelled those that ended before their response was complete,
	// such as when the connection closed.
	Started   int `json:"total"`
	Cancelled int `json:"cancelled"`
	Finished  int `json:"finished"`
	// ByID counts started runs per request id or idempotency key.
	ByID map[string]int `json:"runs"`
}

// RunCounter counts runs per id: the request id, or the idempotency key of a call that
// must run at most once.
type RunCounter struct {
	mu      sync.Mutex
	counts  RunCounts
	journal *os.File // nil unless OpenJournal was called
}

// OpenJournal adds the runs listed in a file, and appends every further run to the file
// before it starts, so that the counts survive a crash of the process.
func (r *RunCounter) OpenJournal(path string) (err error) {
	if err = r.ReadJournal(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	r.journal, err = os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return errors.Wrap(err, "open run journal")
}

// ReadJournal adds the runs listed in a file.
func (r *RunCounter) ReadJournal(path string) (err error) {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "read run journal")
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		r.Begin(lines.Text())
	}
	return errors.Wrap(lines.Err(), "read run journal")
}

// RequestID returns the request id that the caller set, without the suffix that an
// entry appends to it after a "~".
func RequestID(r *http.Request) string {
	id, _, _ := strings.Cut(r.Header.Get("X-Request-Id"), "~")
	return id
}

// Begin counts the start of a run and returns the number of runs for that id.
func (r *RunCounter) Begin(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts.ByID == nil {
		r.counts.ByID = map[string]int{}
	}
	if r.journal != nil {
		_, _ = r.journal.WriteString(id + "\n")
	}
	r.counts.Started++
	r.counts.ByID[id]++
	return r.counts.ByID[id]
}

// End counts the end of a run as cancelled or finished.
func (r *RunCounter) End(cancelled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancelled {
		r.counts.Cancelled++
		return
	}
	r.counts.Finished++
}

// Counts returns a copy of the counts.
func (r *RunCounter) Counts() RunCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.counts
	counts.ByID = maps.Clone(counts.ByID)
	return counts
}

// Register adds the handler for GET /runs, which returns the counts.
func (r *RunCounter) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.Counts()) })
}
