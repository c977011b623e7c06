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

// entryList caches the addresses of the entries for the lifetime that the list states.
type entryList struct {
	client        *http.Client
	token         string
	timer         timer.Service
	seedAddresses []string

	mu        sync.Mutex
	addresses []string
	// failedCount is the number of leading addresses that failed since the last fetch.
	failedCount int
	expiresAt   timer.Instant
}

// currentAddress returns the first address that has not failed. It fetches a new list
// once the cached one has expired or all its addresses have failed.
func (l *entryList) currentAddress(ctx context.Context) (address string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failedCount < len(l.addresses) && l.timer.Now().Before(l.expiresAt) {
		return l.addresses[l.failedCount], nil
	}
	sources := slices.Clone(l.addresses)
	for _, s := range l.seedAddresses {
		if !slices.Contains(sources, s) {
			sources = append(sources, s)
		}
	}
	for _, a := range sources {
		if err = l.fetch(ctx, a); err == nil {
			return l.addresses[0], nil
		}
	}
	l.addresses, l.failedCount = nil, 0
	return "", errors.Wrap(err, "no instance returned the list of entries")
}

// markFailed skips the address until the list is fetched again.
func (l *entryList) markFailed(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failedCount < len(l.addresses) && l.addresses[l.failedCount] == address {
		l.failedCount++
	}
}

// fetch replaces the cached list by that of the instance at address.
func (l *entryList) fetch(ctx context.Context, address string) (err error) {
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
	l.addresses, l.failedCount = l.addresses[:0], 0
	for _, e := range reply.Entries {
		l.addresses = append(l.addresses, e.Address)
	}
	l.expiresAt = l.timer.Now().Add(time.Duration(reply.Lifetime) * time.Millisecond)
	return nil
}
