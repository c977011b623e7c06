package demo

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/bench/cluster"
	"wisteriakeel.example/wisteriakeel/internal/config/document"
)

// engineGracePeriod keeps an engine that deregisters running for long enough to count the requests
// that it still gets.
const engineGracePeriod = deregistrationTime + 4*time.Second

// start starts all processes and waits until the instances answer and the upstreams are registered.
func (d *demo) start(ctx context.Context) (err error) {
	if err = d.cluster.StartAll(); err != nil {
		return err
	}
	if err = d.cluster.Await(ctx, "answer of all instances", 15*time.Second, d.cluster.CheckAllListed); err != nil {
		return err
	}
	d.logf("%d instances answer", len(d.cluster.Instances))
	engines := []struct {
		list           *[]*cluster.Upstream
		name           string
		model, version string
	}{
		{&d.smallEngines, "small-a", "small", "1"},
		{&d.smallEngines, "small-b", "small", "2"},
		{&d.largeEngines, "large-a", "large", "1"},
		{&d.largeEngines, "large-b", "large", "1"},
	}
	for _, e := range engines {
		u, err := d.cluster.AddUpstream(e.name, "engine", "--service", "pool", "--model", e.model, "--version", e.version,
			"--journal", journalName(e.name), "--grace", engineGracePeriod.String())
		if err != nil {
			return err
		}
		*e.list = append(*e.list, u)
	}
	for _, n := range []string{"desk-a", "desk-b"} {
		u, err := d.cluster.AddUpstream(n, "plain", "--service", "desk", "--journal", journalName(n))
		if err != nil {
			return err
		}
		d.deskServices = append(d.deskServices, u)
	}
	if err = d.cluster.Await(ctx, "registration of all upstreams", 10*time.Second, d.checkRegistered); err != nil {
		return err
	}
	d.logf("%d upstreams are registered", len(d.cluster.Upstreams))
	return nil
}

// checkRegistered returns an error unless all upstreams are registered.
func (d *demo) checkRegistered(ctx context.Context) error {
	s, err := d.cluster.Status(ctx)
	if err != nil {
		return err
	}
	if want := len(d.cluster.Upstreams); len(s.Upstreams) != want {
		return errors.Newf("%d of %d upstreams are registered", len(s.Upstreams), want)
	}
	return nil
}

// priceSpec returns the price of a model for the document.
func priceSpec(model string) document.PriceSpec {
	return document.PriceSpec{Input: document.Amount(prices[model][0]), Output: document.Amount(prices[model][1])}
}

// poolDocument returns the document of the engines. withdrawn names the withdrawn version of the
// small model, or is empty.
func poolDocument(withdrawn document.Version) document.Document {
	small := []document.VersionSpec{{Name: "1", State: document.StateActive}, {Name: "2", State: document.StateActive}}
	for i := range small {
		if small[i].Name == withdrawn {
			small[i].State = document.StateWithdrawn
		}
	}
	doc := document.Document{
		Service: "pool", Kind: document.KindEngine,
		Models: []document.ModelSpec{
			{Name: "small", Price: priceSpec("small"), Versions: small},
			{
				Name: "large", Price: priceSpec("large"),
				Versions: []document.VersionSpec{{Name: "1", State: document.StateActive}},
			},
		},
	}
	for _, a := range accounts {
		doc.Accounts = append(doc.Accounts, document.AccountSpec{
			Name: document.Account(a), Models: []string{"small", "large"}, Weight: 1,
		})
	}
	return doc
}

// Prices of calls to the plain service.
const (
	bookingPrice = 100
	lookupPrice  = 1
)

// deskDocument returns the document of the plain service.
func deskDocument() document.Document {
	doc := document.Document{
		Service: "desk", Kind: document.KindPlain,
		Calls: []document.CallSpec{
			{Method: "POST", Path: "/bookings", Price: bookingPrice, TimeoutMillis: 2000},
			{Method: "GET", Path: "/lookups/", Idempotent: true, Price: lookupPrice, TimeoutMillis: 2000},
		},
	}
	for _, a := range accounts {
		doc.Accounts = append(doc.Accounts, document.AccountSpec{
			Name: document.Account(a), Calls: []string{"/bookings", "/lookups/"}, Weight: 1,
		})
	}
	return doc
}

// applyDocuments applies both documents and waits until they are in force.
func (d *demo) applyDocuments(ctx context.Context) error {
	for _, doc := range []document.Document{poolDocument(""), deskDocument()} {
		a, err := d.cluster.Apply(ctx, doc, 0, 5*time.Second)
		if err != nil {
			return err
		}
		d.logf("%s is accepted as revision %d, in force: %v after %d ms", doc.Service, a.Revision, a.InForce, a.ElapsedMillis)
		if d.inForceRevision = max(d.inForceRevision, a.Revision); doc.Service == "pool" {
			d.poolRevision = a.Revision
		}
		if !a.InForce {
			return errors.Newf("the document of %s was not in force within 5 s", doc.Service)
		}
	}
	return nil
}
