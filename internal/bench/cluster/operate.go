package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/bench/fault"
	"wisteriakeel.example/wisteriakeel/internal/config/document"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// get reads the JSON answer of an address.
func get(ctx context.Context, url, token string, v any) (err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s: status %d: %.200s", url, response.StatusCode, body)
	}
	if m, ok := v.(proto.Message); ok {
		return protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(body, m)
	}
	return json.Unmarshal(body, v)
}

// RunOperatorCommand runs an operator command and returns what it printed.
func (c *Cluster) RunOperatorCommand(ctx context.Context, command string, args ...string) (out []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	all := []string{command, "--token-file", c.token, "--json"}
	for _, a := range Addresses(c.Instances) {
		all = append(all, "--address", "http://"+a)
	}
	var errout bytes.Buffer
	run := exec.CommandContext(ctx, c.options.Binary, append(all, args...)...)
	run.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	run.Stderr = &errout
	out, err = run.Output()
	if err != nil {
		return out, errors.Wrapf(err, "%s: %s%s", command, out, errout.Bytes())
	}
	return out, nil
}

// Status returns the status of the cluster.
func (c *Cluster) Status(ctx context.Context) (s *wire.StatusReply, err error) {
	out, err := c.RunOperatorCommand(ctx, "status")
	if err != nil {
		return nil, err
	}
	s = &wire.StatusReply{}
	err = protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(out, s)
	return s, errors.Wrapf(err, "status printed %.200s", out)
}

// InstanceStatus asks one instance for its status.
func (c *Cluster) InstanceStatus(ctx context.Context, i *Instance) (s *wire.StatusReply, err error) {
	s = &wire.StatusReply{}
	return s, get(ctx, "http://"+i.HTTPAddress+"/v1/operator/status", token("operator", "all"), s)
}

// Leader returns the control instance that leads group 0.
func (c *Cluster) Leader(ctx context.Context) (*Instance, error) {
	s, err := c.Status(ctx)
	if err != nil {
		return nil, err
	}
	for _, g := range s.Groups {
		if g.Group != 0 {
			continue
		}
		for _, r := range g.Replicas {
			for _, i := range c.ControlInstances() {
				if (r.Leader || r.Identity == g.Leader) && r.Address == i.PeerAddress {
					return i, nil
				}
			}
		}
	}
	return nil, errors.Newf("status names no leader of group 0: %v", s.Groups)
}

// ApplyResult is what the apply command prints.
type ApplyResult struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision"`
	Repeated bool   `json:"repeated"`
	InForce  bool   `json:"inforce"`
	// ElapsedMillis is the time in milliseconds from commit to in force.
	ElapsedMillis uint32 `json:"elapsed"`
}

// Apply applies a document and waits for it to be in force.
func (c *Cluster) Apply(ctx context.Context, d document.Document, base uint64, wait time.Duration) (a ApplyResult, err error) {
	file, err := writeFile(c.Directory, string(d.Service)+".document.json", d)
	if err != nil {
		return a, err
	}
	out, err := c.RunOperatorCommand(ctx, "apply", file, "--base", fmt.Sprint(base), "--wait", fmt.Sprint(wait.Milliseconds()))
	if err != nil {
		return a, err
	}
	return a, errors.Wrapf(json.Unmarshal(out, &a), "apply printed %.200s", out)
}

// Ledger is what the ledger command prints.
type Ledger struct {
	Totals  []Total  `json:"totals"`
	Charges []Charge `json:"charges"`
}

// Total is the sum of an account's charges for one service.
type Total struct {
	Account  string `json:"account"`
	Service  string `json:"service"`
	Requests uint64 `json:"requests"`
	Input    uint64 `json:"input"`
	Output   uint64 `json:"output"`
	Amount   uint64 `json:"amount"`
	Cost     uint64 `json:"cost"`
}

// Charge is the charge for one request.
type Charge struct {
	Account string `json:"account"`
	Service string `json:"service"`
	Request string `json:"request"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Input   uint64 `json:"input"`
	Output  uint64 `json:"output"`
	Amount  uint64 `json:"amount"`
}

// Ledger returns the charges.
func (c *Cluster) Ledger(ctx context.Context) (l Ledger, err error) {
	out, err := c.RunOperatorCommand(ctx, "ledger", "--limit", "10000")
	if err != nil {
		return l, err
	}
	return l, errors.Wrapf(json.Unmarshal(out, &l), "ledger printed %.200s", out)
}

// RunCounts returns the run counts of an upstream.
func (c *Cluster) RunCounts(ctx context.Context, u *Upstream) (t fault.RunCounts, err error) {
	return t, get(ctx, "http://"+u.Address+"/runs", "", &t)
}
