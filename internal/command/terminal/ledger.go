package terminal

import (
	"io"
	"net/url"
	"strconv"

	"github.com/jessevdk/go-flags"
)

func init() {
	register(command{
		name:  "ledger",
		short: "Print totals and charges",
		long:  "Prints the totals of each client account and the latest charges, for the services that the credential lists.",
		factory: func(out io.Writer) flags.Commander {
			return &ledgerCommand{remote: remote{out: out}}
		},
	})
}

type ledgerCommand struct {
	remote
	Account string `long:"account" value-name:"NAME" description:"client account to print instead of all"`
	Limit   uint32 `long:"limit" value-name:"N" default:"1000" description:"number of charges to print"`
}

// sums are the counts that totals and charges share.
type sums struct {
	Account string `json:"account"`
	Service string `json:"service"`
	Input   uint64 `json:"input"`
	Output  uint64 `json:"output"`
	Amount  uint64 `json:"amount"`
}

// ledger is the part of the answer that is printed.
type ledger struct {
	Totals []struct {
		sums
		Requests uint64 `json:"requests"`
		Cost     uint64 `json:"cost"`
	} `json:"totals"`
	Charges []struct {
		sums
		Request string `json:"request"`
		Model   string `json:"model"`
		Version string `json:"version"`
	} `json:"charges"`
}

// Execute prints the ledger.
func (c *ledgerCommand) Execute([]string) error {
	q := url.Values{"limit": {strconv.FormatUint(uint64(c.Limit), 10)}}
	if c.Account != "" {
		q.Set("account", c.Account)
	}
	return c.get("/v1/operator/ledger?"+q.Encode(), c.show)
}

func (c *ledgerCommand) show(body []byte) error {
	var l ledger
	if err := read(body, &l); err != nil {
		return err
	}
	t := newTable(c.out, "ACCOUNT", "SERVICE", "REQUESTS", "INPUT", "OUTPUT", "AMOUNT", "COST")
	for _, x := range l.Totals {
		t.row(x.Account, x.Service, x.Requests, x.Input, x.Output, x.Amount, x.Cost)
	}
	t.row()
	t.row("ACCOUNT", "SERVICE", "REQUEST", "MODEL", "VERSION", "AMOUNT")
	for _, x := range l.Charges {
		t.row(x.Account, x.Service, x.Request, x.Model, x.Version, x.Amount)
	}
	return t.end()
}
