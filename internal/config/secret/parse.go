package secret

import (
	"crypto/sha256"
	"regexp"
	"strconv"
	"strings"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/config/problem"
)

// Limits of the length of a token in bytes. Tokens are ASCII, so problems call them characters.
const (
	// minTokenLength rejects tokens that are easy to guess.
	minTokenLength = 16
	// maxTokenLength keeps a token well below the limit on request headers.
	maxTokenLength = 512
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	// upstreamPattern matches a name, or a prefix of names followed by "*".
	upstreamPattern = regexp.MustCompile(`^([A-Za-z0-9][A-Za-z0-9._-]{0,63}\*?|\*)$`)
	tokenPattern    = regexp.MustCompile(`^[!-~]*$`)
)

// secretsFile is the JSON structure of a secrets file.
type secretsFile struct {
	Accounts  []credential         `json:"accounts"`
	Operators []operatorCredential `json:"operators"`
	Upstreams []credential         `json:"upstreams"`
	Peer      string               `json:"peer"`
}

// credential is the token of an account or of upstreams.
type credential struct {
	Name  string `json:"name"`
	Token string `json:"token"`
}

// operatorCredential is the token of an operator, with the services that it may change.
type operatorCredential struct {
	Name     string             `json:"name"`
	Token    string             `json:"token"`
	Services []document.Service `json:"services"`
}

// Parse parses and checks the text of a secrets file; name is the file name in
// problems. The error is an *Error that lists every problem.
func Parse(name string, text []byte) (*Credentials, error) {
	l := problem.NewList(name)
	var f secretsFile
	b := &builder{List: l, fieldsByToken: map[digest]string{}, seenNames: map[string]bool{}, credentials: &Credentials{}}
	if l.Decode(text, &f) {
		b.addFile(&f)
	}
	if err := l.Err(); err != nil {
		return nil, err
	}
	return b.credentials, nil
}

// builder checks a decoded file and builds its Credentials.
type builder struct {
	*problem.List
	// fieldsByToken maps the digest of each token seen to the path of its field.
	fieldsByToken map[digest]string
	seenNames     map[string]bool
	credentials   *Credentials
}

func (b *builder) addFile(f *secretsFile) {
	for i, a := range f.Accounts {
		path := problem.At("accounts", i)
		b.checkName(path, "account", a.Name, namePattern)
		b.credentials.accounts = append(b.credentials.accounts, tokenOwner[document.Account]{b.checkToken(path, a.Token), document.Account(a.Name)})
	}
	for i, o := range f.Operators {
		path := problem.At("operators", i)
		b.checkName(path, "operator", o.Name, namePattern)
		b.checkServices(path, o.Services)
		b.credentials.operators = append(b.credentials.operators, tokenOwner[Operator]{b.checkToken(path, o.Token), Operator{Name: o.Name, Services: o.Services}})
	}
	for i, u := range f.Upstreams {
		path := problem.At("upstreams", i)
		b.checkName(path, "upstream", u.Name, upstreamPattern)
		b.credentials.upstreams = append(b.credentials.upstreams, tokenOwner[string]{b.checkToken(path, u.Token), u.Name})
	}
	b.checkToken("", f.Peer)
	b.credentials.peerToken = f.Peer
}

func (b *builder) checkName(path, kind, name string, pattern *regexp.Regexp) {
	field := problem.Join(path, "name")
	if !pattern.MatchString(name) {
		b.Add(field, "1 to 64 letters, digits, dots, dashes or underscores", problem.Quote(name))
	}
	if key := kind + " " + name; b.seenNames[key] {
		b.Add(field, "each "+kind+" once", problem.Quote(name))
	} else {
		b.seenNames[key] = true
	}
}

func (b *builder) checkServices(path string, services []document.Service) {
	if len(services) == 0 {
		b.Add(problem.Join(path, "services"), "at least one service", "none")
	}
	for i, s := range services {
		if !namePattern.MatchString(string(s)) {
			b.Add(problem.At(problem.Join(path, "services"), i), "the name of a service", problem.Quote(string(s)))
		}
	}
}

// checkToken checks the token of the element at path, or the peer token if path is
// empty, and returns its digest. Problems contain only the
// length of a token.
func (b *builder) checkToken(path, token string) digest {
	field := "peer"
	if path != "" {
		field = problem.Join(path, "token")
	}
	sum := digest(sha256.Sum256([]byte(token)))
	switch {
	case len(token) < minTokenLength || len(token) > maxTokenLength:
		b.Add(field, strconv.Itoa(minTokenLength)+" to "+strconv.Itoa(maxTokenLength)+" characters", strconv.Itoa(len(token)))
	case !tokenPattern.MatchString(token) || strings.ContainsAny(token, "\"\\"):
		b.Add(field, "printable ASCII without spaces, quotes and backslashes", "another character")
	case b.fieldsByToken[sum] != "":
		b.Add(field, "a token of its own", "the token of "+b.fieldsByToken[sum])
	}
	b.fieldsByToken[sum] = field
	return sum
}
