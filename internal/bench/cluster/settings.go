package cluster

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// settings is the settings file of one instance.
type settings struct {
	Instance string   `json:"instance"`
	Zone     string   `json:"zone"`
	Region   string   `json:"region"`
	Roles    []string `json:"roles"`
	Folder   string   `json:"folder,omitempty"`
	Listen   listen   `json:"listen"`
	Control  []string `json:"control"`
	Groups   int      `json:"groups"`
	Secrets  string   `json:"secrets"`
	Log      level    `json:"log"`
	Trace    exporter `json:"trace"`
	Rating   string   `json:"rating,omitempty"`
}

type listen struct {
	HTTP string `json:"http"`
	Peer string `json:"peer,omitempty"`
}

type level struct {
	Level string `json:"level"`
}

type exporter struct {
	Exporter string `json:"exporter"`
}

// credential is one named token of the secrets file.
type credential struct {
	Name     string   `json:"name"`
	Token    string   `json:"token"`
	Services []string `json:"services,omitempty"`
}

type secrets struct {
	Accounts  []credential `json:"accounts"`
	Operators []credential `json:"operators"`
	Upstreams []credential `json:"upstreams"`
	Peer      string       `json:"peer"`
}

// ports holds loopback ports open until their process is about to start.
type ports struct {
	held map[string]net.Listener
}

// take reserves a free port and returns its address.
func (p *ports) take() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	if p.held == nil {
		p.held = map[string]net.Listener{}
	}
	address = l.Addr().String()
	p.held[address] = l
	return address, nil
}

// release frees a reserved port.
func (p *ports) release(address string) {
	if l := p.held[address]; l != nil {
		_ = l.Close()
		delete(p.held, address)
	}
}

// writeFile writes v as JSON with access for the owner only.
func writeFile(folder, name string, v any) (path string, err error) {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	path = filepath.Join(folder, name)
	return path, errors.Wrap(os.WriteFile(path, text, 0o600), "write file")
}

// token returns the token of a credential; it needs to be unguessable nowhere,
// since everything listens on loopback and ends with the run.
func token(kind, name string) string { return fmt.Sprintf("%s-%s-0123456789abcdef", kind, name) }
