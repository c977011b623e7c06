package terminal

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

func init() {
	register(command{
		name:  "status",
		short: "Print revisions, leases, groups and upstreams",
		long:  "Prints the accepted revision and the one in force everywhere, the entries with a lease, the replicas of each group and the registered upstreams.",
		factory: func(out io.Writer) flags.Commander {
			return &statusCommand{remoteCommand: remoteCommand{out: out}}
		},
	})
}

type statusCommand struct {
	remoteCommand
}

// status is the part of the response that is printed.
type status struct {
	Revision uint64 `json:"revision"`
	InForce  uint64 `json:"inforce"`
	Leases   []struct {
		Instance struct {
			Name     string `json:"name"`
			Address  string `json:"address"`
			Zone     string `json:"zone"`
			Draining bool   `json:"draining"`
		} `json:"instance"`
		Applied uint64 `json:"applied"` // revision that the entry uses
		Left    int64  `json:"left"`    // time until the lease expires, in milliseconds
	} `json:"leases"`
	Groups []struct {
		Group    uint32 `json:"group"`
		Term     uint64 `json:"term"`
		Commit   uint64 `json:"commit"` // index of the last committed log entry
		Replicas []struct {
			Identity string `json:"identity"`
			Address  string `json:"address"`
			Voter    bool   `json:"voter"`
			Leader   bool   `json:"leader"`
			Match    uint64 `json:"match"` // index up to which the replica has the leader's log
		} `json:"replicas"`
	} `json:"groups"`
	Upstreams []struct {
		Name    string `json:"name"`
		Address string `json:"address"`
		Service string `json:"service"`
		Model   string `json:"model"`
		Version string `json:"version"`
		Zone    string `json:"zone"`
	} `json:"upstreams"`
}

// Execute prints the revisions and tables of the entries, replicas and upstreams.
func (c *statusCommand) Execute([]string) error { return c.get("/v1/operator/status", c.printTables) }

func (c *statusCommand) printTables(body []byte) error {
	var s status
	if err := decode(body, &s); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "revision %d, in force %d\n\n", s.Revision, s.InForce)
	t := newTable(c.out, "ENTRY", "ADDRESS", "ZONE", "APPLIED", "LEASE LEFT", "DRAINING")
	for _, l := range s.Leases {
		t.row(l.Instance.Name, l.Instance.Address, l.Instance.Zone, l.Applied, fmt.Sprintf("%d ms", l.Left), l.Instance.Draining)
	}
	t.row()
	t.row("GROUP", "REPLICA", "ADDRESS", "TERM", "MATCH", "PART")
	for _, g := range s.Groups {
		for _, r := range g.Replicas {
			t.row(g.Group, r.Identity, r.Address, g.Term, fmt.Sprintf("%d of %d", r.Match, g.Commit), replicaRole(r.Voter, r.Leader))
		}
	}
	t.row()
	t.row("UPSTREAM", "ADDRESS", "ZONE", "SERVICE", "MODEL", "VERSION")
	for _, u := range s.Upstreams {
		t.row(u.Name, u.Address, u.Zone, u.Service, u.Model, u.Version)
	}
	return t.flush()
}

// replicaRole names the role of a replica within its group.
func replicaRole(voter, leader bool) string {
	switch {
	case leader:
		return "leader"
	case voter:
		return "voter"
	}
	return "learner"
}
