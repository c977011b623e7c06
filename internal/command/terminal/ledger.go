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
			return &ledgerCommand{remoteCommand: remoteCommand{out: out}}
		},
	})
}

type ledgerCommand struct {
	remoteCommand
	Account string `long:"account" value-name:"NAME" description:"client account to print instead of all"`
	Limit   uint32 `long:"limit" value-name:"N" default:"1000" description:"number of charges to print"`
}

// usage holds the fields that totals and charges have in common. Input and Output count
// tokens; Amount is in millionths of the unit of account.
type usage struct {
	Account string `json:"account"`
	Service string `json:"service"`
	Input   uint64 `json:"input"`
	Output  uint64 `json:"output"`
	Amount  uint64 `json:"amount"`
}

// ledger is the part of the response that is printed.
type ledger struct {
	Totals []struct {
		usage
		Requests uint64 `json:"requests"`
		// Cost is the price of all attempts, including those that were not charged.
		Cost uint64 `json:"cost"`
	} `json:"totals"`
	Charges []struct {
		usage
		Request string `json:"request"`
		Model   string `json:"model"`
		Version string `json:"version"`
	} `json:"charges"`
}

// Execute prints a table of the totals and a table of the charges.
func (c *ledgerCommand) Execute([]string) error {
	q := url.Values{"limit": {strconv.FormatUint(uint64(c.Limit), 10)}}
	if c.Account != "" {
		q.Set("account", c.Account)
	}
	return c.get("/v1/operator/ledger?"+q.Encode(), c.printTable)
}

func (c *ledgerCommand) printTable(body []byte) error {
	var l ledger
	if err := decode(body, &l); err != nil {
		return err
	}
	t := newTable(c.out, "ACCOUNT", "SERVICE", "REQUESTS", "INPUT", "OUTPUT", "AMOUNT", "COST")
	for _, total := range l.Totals {
		t.row(total.Account, total.Service, total.Requests, total.Input, total.Output, total.Amount, total.Cost)
	}
	t.row()
	t.row("ACCOUNT", "SERVICE", "REQUEST", "MODEL", "VERSION", "AMOUNT")
	for _, charge := range l.Charges {
		t.row(charge.Account, charge.Service, charge.Request, charge.Model, charge.Version, charge.Amount)
	}
	return t.flush()
}
