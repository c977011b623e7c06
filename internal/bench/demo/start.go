package demo

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/bench/cluster"
	"wisteriakeel.example/wisteriakeel/internal/config/document"
)

// grace keeps an engine that leaves reachable for long enough to see what it still gets.
const grace = leaving + 4*time.Second

// start starts all processes and waits until they answer.
func (d *demo) start(ctx context.Context) (err error) {
	if err = d.cluster.StartAll(); err != nil {
		return err
	}
	if err = d.cluster.Await(ctx, "answer of all instances", 15*time.Second, d.cluster.CheckAllListed); err != nil {
		return err
	}
	d.note("%d instances answer", len(d.cluster.Instances))
	engines := []struct {
		list           *[]*cluster.Upstream
		name           string
		model, version string
	}{
		{&d.small, "small-a", "small", "1"},
		{&d.small, "small-b", "small", "2"},
		{&d.large, "large-a", "large", "1"},
		{&d.large, "large-b", "large", "1"},
	}
	for _, e := range engines {
		u, err := d.cluster.AddUpstream(e.name, "engine", "--service", "pool", "--model", e.model, "--version", e.version,
			"--journal", journal(e.name), "--grace", grace.String())
		if err != nil {
			return err
		}
		*e.list = append(*e.list, u)
	}
	for _, n := range []string{"desk-a", "desk-b"} {
		u, err := d.cluster.AddUpstream(n, "plain", "--service", "desk", "--journal", journal(n))
		if err != nil {
			return err
		}
		d.desk = append(d.desk, u)
	}
	if err = d.cluster.Await(ctx, "registration of all upstreams", 10*time.Second, d.registered); err != nil {
		return err
	}
	d.note("%d upstreams are registered", len(d.cluster.Upstreams))
	return nil
}

// registered returns an error unless all upstreams are registered.
func (d *demo) registered(ctx context.Context) error {
	s, err := d.cluster.Status(ctx)
	if err != nil {
		return err
	}
	if want := len(d.cluster.Upstreams); len(s.Upstreams) != want {
		return errors.Newf("%d of %d upstreams are registered", len(s.Upstreams), want)
	}
	return nil
}

func priceOf(model string) document.PriceSpec {
	return document.PriceSpec{Input: document.Amount(prices[model][0]), Output: document.Amount(prices[model][1])}
}

// pool is the document of the engines; withdrawn names a withdrawn version of
// the small model.
func pool(withdrawn document.Version) document.Document {
	small := []document.VersionSpec{{Name: "1", State: document.StateActive}, {Name: "2", State: document.StateActive}}
	for i := range small {
		if small[i].Name == withdrawn {
			small[i].State = document.StateWithdrawn
		}
	}
	p := document.Document{
		Service: "pool", Kind: document.KindEngine,
		Models: []document.ModelSpec{
			{Name: "small", Price: priceOf("small"), Versions: small},
			{
				Name: "large", Price: priceOf("large"),
				Versions: []document.VersionSpec{{Name: "1", State: document.StateActive}},
			},
		},
	}
	for _, a := range accounts {
		p.Accounts = append(p.Accounts, document.AccountSpec{
			Name: document.Account(a), Models: []string{"small", "large"}, Weight: 1,
		})
	}
	return p
}

// Prices of the calls of the plain service.
const (
	bookingPrice = 100
	lookupPrice  = 1
)

// desk is the document of the plain service.
func desk() document.Document {
	p := document.Document{
		Service: "desk", Kind: document.KindPlain,
		Calls: []document.CallSpec{
			{Method: "POST", Path: "/bookings", Price: bookingPrice, TimeoutMillis: 2000},
			{Method: "GET", Path: "/lookups/", Idempotent: true, Price: lookupPrice, TimeoutMillis: 2000},
		},
	}
	for _, a := range accounts {
		p.Accounts = append(p.Accounts, document.AccountSpec{
			Name: document.Account(a), Calls: []string{"/bookings", "/lookups/"}, Weight: 1,
		})
	}
	return p
}

// configure applies both documents.
func (d *demo) configure(ctx context.Context) error {
	for _, p := range []document.Document{pool(""), desk()} {
		a, err := d.cluster.Apply(ctx, p, 0, 5*time.Second)
		if err != nil {
			return err
		}
		d.note("%s is accepted as revision %d, in force: %v after %d ms", p.Service, a.Revision, a.InForce, a.ElapsedMillis)
		if d.applied = max(d.applied, a.Revision); p.Service == "pool" {
			d.pool = a.Revision
		}
		if !a.InForce {
			return errors.Newf("%s is not in force within 5 s", p.Service)
		}
	}
	return nil
}
