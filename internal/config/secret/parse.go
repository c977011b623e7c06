package secret

import (
	"crypto/sha256"
	"regexp"
	"strconv"
	"strings"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/config/problem"
)

const (
	// minToken keeps out tokens that can be guessed.
	minToken = 16
	// maxToken keeps a token well within the header bound.
	maxToken = 512
)

var (
	namePattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	upstreamPattern = regexp.MustCompile(`^([A-Za-z0-9][A-Za-z0-9._-]{0,63}\*?|\*)$`)
	tokenPattern    = regexp.MustCompile(`^[!-~]*$`)
)

// file is the form of the secrets file.
type file struct {
	Accounts  []holder   `json:"accounts"`
	Operators []operator `json:"operators"`
	Upstreams []holder   `json:"upstreams"`
	Peer      string     `json:"peer"`
}

type holder struct {
	Name  string `json:"name"`
	Token string `json:"token"`
}

type operator struct {
	Name     string             `json:"name"`
	Token    string             `json:"token"`
	Services []document.Service `json:"services"`
}

// Parse reads the text of the secrets file of that name.
func Parse(name string, text []byte) (*Credentials, error) {
	l := problem.NewList(name)
	var f file
	r := &reader{List: l, tokens: map[digest]string{}, names: map[string]bool{}, book: &Credentials{}}
	if l.Decode(text, &f) {
		r.file(&f)
	}
	if err := l.Err(); err != nil {
		return nil, err
	}
	return r.book, nil
}

// reader checks the decoded file and fills the book.
type reader struct {
	*problem.List
	// tokens maps each token seen to the field that holds it.
	tokens map[digest]string
	names  map[string]bool
	book   *Credentials
}

func (r *reader) file(f *file) {
	for i, a := range f.Accounts {
		path := problem.At("accounts", i)
		r.name(path, "account", a.Name, namePattern)
		r.book.accounts = append(r.book.accounts, entry[document.Account]{r.token(path, a.Token), document.Account(a.Name)})
	}
	for i, o := range f.Operators {
		path := problem.At("operators", i)
		r.name(path, "operator", o.Name, namePattern)
		r.services(path, o.Services)
		r.book.operators = append(r.book.operators, entry[Operator]{r.token(path, o.Token), Operator{Name: o.Name, Services: o.Services}})
	}
	for i, u := range f.Upstreams {
		path := problem.At("upstreams", i)
		r.name(path, "upstream", u.Name, upstreamPattern)
		r.book.upstreams = append(r.book.upstreams, entry[string]{r.token(path, u.Token), u.Name})
	}
	r.token("", f.Peer)
	r.book.peer = f.Peer
}

func (r *reader) name(path, kind, name string, pattern *regexp.Regexp) {
	field := problem.Join(path, "name")
	if !pattern.MatchString(name) {
		r.Add(field, "1 to 64 letters, digits, dots, dashes or underscores", problem.Quote(name))
	}
	if key := kind + " " + name; r.names[key] {
		r.Add(field, "each "+kind+" once", problem.Quote(name))
	} else {
		r.names[key] = true
	}
}

func (r *reader) services(path string, services []document.Service) {
	if len(services) == 0 {
		r.Add(problem.Join(path, "services"), "at least one service", "none")
	}
	for i, s := range services {
		if !namePattern.MatchString(string(s)) {
			r.Add(problem.At(problem.Join(path, "services"), i), "the name of a service", problem.Quote(string(s)))
		}
	}
}

// token checks a token and returns its digest. Problems tell its length only.
func (r *reader) token(path, token string) digest {
	field := "peer"
	if path != "" {
		field = problem.Join(path, "token")
	}
	sum := digest(sha256.Sum256([]byte(token)))
	switch {
	case len(token) < minToken || len(token) > maxToken:
		r.Add(field, strconv.Itoa(minToken)+" to "+strconv.Itoa(maxToken)+" characters", strconv.Itoa(len(token)))
	case !tokenPattern.MatchString(token) || strings.ContainsAny(token, "\"\\"):
		r.Add(field, "printable ASCII without spaces, quotes and backslashes", "another character")
	case r.tokens[sum] != "":
		r.Add(field, "a token of its own", "the token of "+r.tokens[sum])
	}
	r.tokens[sum] = field
	return sum
}
