package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// list keeps the addresses of the entries for their lifetime.
type list struct {
	client *http.Client
	token  string
	timer  timer.Service
	seeds  []string

	mu      sync.Mutex
	entries []string
	// skip is the number of leading addresses that failed since the list was fetched.
	skip int
	end  timer.Instant
}

// address returns the first address of the list that has not failed; it fetches
// a new list once the lifetime has passed or all addresses have failed.
func (l *list) address(ctx context.Context) (address string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.skip < len(l.entries) && l.timer.Now().Before(l.end) {
		return l.entries[l.skip], nil
	}
	asked := slices.Clone(l.entries)
	for _, s := range l.seeds {
		if !slices.Contains(asked, s) {
			asked = append(asked, s)
		}
	}
	for _, a := range asked {
		if err = l.fetch(ctx, a); err == nil {
			return l.entries[0], nil
		}
	}
	l.entries, l.skip = nil, 0
	return "", errors.Wrap(err, "no instance gave a list of entries")
}

// failed passes over an address until the next list.
func (l *list) failed(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.skip < len(l.entries) && l.entries[l.skip] == address {
		l.skip++
	}
}

func (l *list) fetch(ctx context.Context, address string) (err error) {
	ctx, cancel := timer.WithTimeout(ctx, l.timer, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+l.token)
	response, err := l.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s: status %d", address, response.StatusCode)
	}
	var reply struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
		Lifetime int `json:"lifetime"`
	}
	if err = json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return err
	}
	if len(reply.Entries) == 0 {
		return errors.Newf("%s: empty list", address)
	}
	l.entries, l.skip = l.entries[:0], 0
	for _, e := range reply.Entries {
		l.entries = append(l.entries, e.Address)
	}
	l.end = l.timer.Now().Add(time.Duration(reply.Lifetime) * time.Millisecond)
	return nil
}
