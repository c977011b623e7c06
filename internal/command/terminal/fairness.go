package terminal

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

func init() {
	register(command{
		name:  "fairness",
		short: "Print how client accounts are served",
		long:  "Prints requests, refusals, waits and charges of every client account. The credential is that of a client account.",
		factory: func(out io.Writer) flags.Commander {
			return &fairnessCommand{remoteCommand: remoteCommand{out: out}}
		},
	})
}

type fairnessCommand struct {
	remoteCommand
}

// fairness is the part of the response that is printed: counts since the entries were
// started, and the total charges.
type fairness struct {
	Accounts []struct {
		Account  string   `json:"account"`
		Requests uint64   `json:"requests"`
		Refusals uint64   `json:"refusals"`
		Waits    []uint64 `json:"waits"` // histogram of waiting times, see quantile
		Totals   []struct {
			Amount uint64 `json:"amount"`
		} `json:"totals"`
	} `json:"accounts"`
}

// Execute prints one row for each client account.
func (c *fairnessCommand) Execute([]string) error { return c.get("/v1/fairness", c.printTable) }

func (c *fairnessCommand) printTable(body []byte) error {
	var f fairness
	if err := decode(body, &f); err != nil {
		return err
	}
	t := newTable(c.out, "ACCOUNT", "REQUESTS", "REFUSALS", "WAIT OF HALF", "WAIT OF 95%", "CHARGED")
	for _, a := range f.Accounts {
		var amount uint64
		for _, total := range a.Totals {
			amount += total.Amount
		}
		t.row(a.Account, a.Requests, a.Refusals, quantile(a.Waits, 50), quantile(a.Waits, 95), amount)
	}
	return t.flush()
}

// quantile returns the upper bound of the bucket that contains the given percentile of
// the waiting times. Bucket i counts those below 2^i ms that no lower bucket counts.
func quantile(buckets []uint64, percent uint64) string {
	var total, sum uint64
	for _, n := range buckets {
		total += n
	}
	for i, n := range buckets {
		if sum += n; total > 0 && sum*100 >= total*percent {
			return fmt.Sprintf("< %d ms", uint64(1)<<min(i, 63))
		}
	}
	return "-"
}
