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

// getJSON decodes the JSON response of a URL into v.
func getJSON(ctx context.Context, url, token string, v any) (err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := httpClient.Do(request)
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

// RunOperatorCommand runs an operator command of the wisteriakeel binary and returns its output.
func (c *Cluster) RunOperatorCommand(ctx context.Context, command string, args ...string) (output []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	arguments := []string{command, "--token-file", c.tokenFile, "--json"}
	for _, a := range Addresses(c.Instances) {
		arguments = append(arguments, "--address", "http://"+a)
	}
	var stderr bytes.Buffer
	process := exec.CommandContext(ctx, c.options.Binary, append(arguments, args...)...)
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	process.Stderr = &stderr
	output, err = process.Output()
	if err != nil {
		return output, errors.Wrapf(err, "%s: %s%s", command, output, stderr.Bytes())
	}
	return output, nil
}

// Status returns the cluster status as printed by the status command.
func (c *Cluster) Status(ctx context.Context) (s *wire.StatusReply, err error) {
	output, err := c.RunOperatorCommand(ctx, "status")
	if err != nil {
		return nil, err
	}
	s = &wire.StatusReply{}
	err = protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(output, s)
	return s, errors.Wrapf(err, "parse output of status: %.200s", output)
}

// InstanceStatus returns the status that one instance reports.
func (c *Cluster) InstanceStatus(ctx context.Context, i *Instance) (s *wire.StatusReply, err error) {
	s = &wire.StatusReply{}
	return s, getJSON(ctx, "http://"+i.HTTPAddress+"/v1/operator/status", tokenFor("operator", "all"), s)
}

// Leader returns the control instance that is the leader of group 0.
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
	return nil, errors.Newf("no leader of group 0 in status: %v", s.Groups)
}

// ApplyResult is the output of the apply command.
type ApplyResult struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision"`
	Repeated bool   `json:"repeated"`
	InForce  bool   `json:"inforce"`
	// ElapsedMillis is the time from the commit until the configuration was in force.
	ElapsedMillis uint32 `json:"elapsed"`
}

// Apply applies a document, and waits up to the given time for it to be in force.
func (c *Cluster) Apply(ctx context.Context, d document.Document, base uint64, wait time.Duration) (a ApplyResult, err error) {
	file, err := writeFile(c.Directory, string(d.Service)+".document.json", d)
	if err != nil {
		return a, err
	}
	output, err := c.RunOperatorCommand(ctx, "apply", file, "--base", fmt.Sprint(base), "--wait", fmt.Sprint(wait.Milliseconds()))
	if err != nil {
		return a, err
	}
	return a, errors.Wrapf(json.Unmarshal(output, &a), "parse output of apply: %.200s", output)
}

// Ledger is the output of the ledger command.
type Ledger struct {
	Totals  []Total  `json:"totals"`
	Charges []Charge `json:"charges"`
}

// Total is the sum of an account's charges for a service. Input and Output count tokens;
// Amount and Cost are in millionths of the unit of account.
type Total struct {
	Account  string `json:"account"`
	Service  string `json:"service"`
	Requests uint64 `json:"requests"`
	Input    uint64 `json:"input"`
	Output   uint64 `json:"output"`
	Amount   uint64 `json:"amount"`
	// Cost is the price of all attempts, including those that were not charged.
	Cost uint64 `json:"cost"`
}

// Charge is the charge for one request, in the units of Total.
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

// Ledger returns the totals and charges as printed by the ledger command.
func (c *Cluster) Ledger(ctx context.Context) (l Ledger, err error) {
	output, err := c.RunOperatorCommand(ctx, "ledger", "--limit", "10000")
	if err != nil {
		return l, err
	}
	return l, errors.Wrapf(json.Unmarshal(output, &l), "parse output of ledger: %.200s", output)
}

// RunCounts returns the run counts of an upstream.
func (c *Cluster) RunCounts(ctx context.Context, u *Upstream) (counts fault.RunCounts, err error) {
	return counts, getJSON(ctx, "http://"+u.Address+"/runs", "", &counts)
}
