package peer

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/fleet/relay"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// sourceWait is how long a source may take to get the wanted layout itself. It covers the
	// transfers of the levels above in a tree for 200 instances of one zone.
	sourceWait = 400 * time.Millisecond
	// pieceTimeout bounds the call for one piece, including sourceWait.
	pieceTimeout = 700 * time.Millisecond
	// replicaWait is how long an instance with a disk waits for the log of the control group,
	// which brings the layout without another transfer.
	replicaWait = 250 * time.Millisecond
	// fetchRetryDelay is the pause after all sources have failed.
	fetchRetryDelay = 100 * time.Millisecond
)

// LayoutCommitted must be called when the replica of this instance has applied a command.
func (c *Client) LayoutCommitted() {
	select {
	case c.layoutCommitted <- struct{}{}:
	default:
	}
}

// fetcher gets the newest layout as soon as the leader has named it.
type fetcher struct {
	*Client
	// failures holds when a call to a source failed that has not answered since.
	failures map[Address]timer.Instant
}

// loop fetches each wanted layout. While a transfer is running, a newer one replaces it.
func (f *fetcher) loop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.options.View.LayoutWanted():
		case <-f.layoutCommitted:
			f.applyCommitted()
		}
		for f.options.View.WantedLayout() > 0 {
			if f.fetch(ctx) {
				continue
			}
			if timer.Sleep(ctx, f.options.Timer, fetchRetryDelay) != nil {
				return nil
			}
		}
	}
}

// fetch gets the wanted layout from the replica of this instance or else from the other
// instances, and puts it into force.
func (f *fetcher) fetch(ctx context.Context) bool {
	start := f.options.Timer.Now()
	if f.awaitReplica(ctx) {
		return true
	}
	self := f.options.DescribeInstance()
	for _, source := range f.sources(relay.Sources(self, f.options.View.Instances(), string(f.finder.leaderAddress()))) {
		wanted := f.options.View.WantedLayout()
		if wanted == 0 {
			return true
		}
		t, err := f.options.Layouts.Fetch(ctx, uint64(wanted), uint32(sourceWait.Milliseconds()), f.callSource(Address(source)))
		if err == nil {
			f.options.Log.Info("layout fetched", zap.String("from", source), zap.Uint64("version", t.Version),
				zap.Int("bytes", len(t.Bytes)), zap.Duration("took", f.options.Timer.Now().Sub(start)))
			return f.apply(t)
		}
		if ctx.Err() != nil {
			return false
		}
		f.options.Log.Info("layout not fetched", zap.String("from", source), zap.Uint64("version", uint64(wanted)), journal.Error(err))
	}
	return false
}

// sources returns the sources in the order in which they are asked: those that failed last, so
// that a lost parent does not delay each version.
func (f *fetcher) sources(list []string) []string {
	now := f.options.Timer.Now()
	maps.DeleteFunc(f.failures, func(_ Address, at timer.Instant) bool { return now.Sub(at) > failureMemory })
	var sound, failed []string
	for _, s := range list {
		if _, ok := f.failures[Address(s)]; ok {
			failed = append(failed, s)
		} else {
			sound = append(sound, s)
		}
	}
	return append(sound, failed...)
}

// callSource returns the call for a piece of a layout at a source.
func (f *fetcher) callSource(source Address) relay.Call {
	return func(ctx context.Context, q *wire.FetchRequest) (*wire.FetchReply, error) {
		r, err := call(ctx, f.connections, source, classFetch, pieceTimeout, func(ctx context.Context, c wire.DRPCFleetClient) (*wire.FetchReply, error) {
			return c.Fetch(ctx, q)
		})
		switch {
		case err == nil:
			delete(f.failures, source)
		case ctx.Err() == nil:
			f.failures[source] = f.options.Timer.Now()
		}
		return r, err
	}
}

// awaitReplica puts the wanted layout into force once the replica of this instance has
// applied it. It returns false if that takes too long or there is no replica.
func (f *fetcher) awaitReplica(ctx context.Context) bool {
	if f.options.DescribeInstance().GetIdentity() == "" {
		return false
	}
	ctx, cancel := timer.WithTimeout(ctx, f.options.Timer, replicaWait)
	defer cancel()
	for !f.applyCommitted() {
		select {
		case <-f.layoutCommitted:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// applyCommitted puts the layout of the replica into force if it is at least as new as the
// one that the leader named. An instance that was restarted has an old one at first. It
// returns true if no newer layout is wanted any more.
func (f *fetcher) applyCommitted() bool {
	l := f.options.CommittedLayout()
	wanted := f.options.View.WantedLayout()
	if l == nil || wanted == 0 || layout.Version(l.GetVersion()) < wanted {
		return wanted == 0
	}
	t, err := relay.Unpack(l)
	if err != nil {
		f.options.Log.Error("could not read the layout of the control group", journal.Error(err))
		return false
	}
	f.options.Layouts.Put(t)
	return f.apply(t)
}

// apply puts a layout into force.
func (f *fetcher) apply(t *relay.Text) bool {
	err := f.options.View.ApplyLayout(layout.Version(t.Version), t.Bytes)
	if err != nil {
		f.options.Log.Error("could not apply the layout", journal.Error(err))
	}
	return err == nil
}
