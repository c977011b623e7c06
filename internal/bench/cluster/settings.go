package cluster

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// settings is the content of an instance's settings file.
type settings struct {
	Instance         string         `json:"instance"`
	Zone             string         `json:"zone"`
	Region           string         `json:"region"`
	Roles            []string       `json:"roles"`
	DataDirectory    string         `json:"folder,omitempty"`
	Listen           listenSettings `json:"listen"`
	ControlAddresses []string       `json:"control"`
	DataGroups       int            `json:"groups"`
	SecretsFile      string         `json:"secrets"`
	Log              logSettings    `json:"log"`
	Trace            traceSettings  `json:"trace"`
	RatingURL        string         `json:"rating,omitempty"`
}

type listenSettings struct {
	HTTP string `json:"http"`
	Peer string `json:"peer,omitempty"`
}

type logSettings struct {
	Level string `json:"level"`
}

type traceSettings struct {
	Exporter string `json:"exporter"`
}

// credential is a named token in the secrets file.
type credential struct {
	Name     string   `json:"name"`
	Token    string   `json:"token"`
	Services []string `json:"services,omitempty"`
}

// secrets is the content of the secrets file.
type secrets struct {
	Accounts  []credential `json:"accounts"`
	Operators []credential `json:"operators"`
	Upstreams []credential `json:"upstreams"`
	Peer      string       `json:"peer"`
}

// reservedPorts keeps listeners open on loopback ports, so that no other process takes
// them before the intended one starts.
type reservedPorts struct {
	listeners map[string]net.Listener
}

// reserve opens a listener on a free port and returns its address.
func (p *reservedPorts) reserve() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	if p.listeners == nil {
		p.listeners = map[string]net.Listener{}
	}
	address = l.Addr().String()
	p.listeners[address] = l
	return address, nil
}

// release closes the listener on a reserved port.
func (p *reservedPorts) release(address string) {
	if l := p.listeners[address]; l != nil {
		_ = l.Close()
		delete(p.listeners, address)
	}
}

// writeFile writes v as JSON to a file that only the owner can access.
func writeFile(directory, name string, v any) (path string, err error) {
	content, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	path = filepath.Join(directory, name)
	return path, errors.Wrap(os.WriteFile(path, content, 0o600), "write file")
}

// tokenFor returns the token of a credential. It may be predictable, because all
// processes listen on loopback only and end with the run.
func tokenFor(kind, name string) string { return fmt.Sprintf("%s-%s-0123456789abcdef", kind, name) }
