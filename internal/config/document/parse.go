package document

import (
	"encoding/json"

	"wisteriakeel.example/wisteriakeel/internal/config/problem"
)

// Problem is a problem of a document.
type Problem = problem.Problem

// Error lists all problems of a document.
type Error = problem.Error

// Parse parses and checks the text of a document; name is the file name in
// problems. The error is an *Error that lists every problem.
func Parse(name string, text []byte) (*Document, error) {
	l := problem.NewList(name)
	d := &Document{}
	if l.Decode(text, d) {
		c := &checker{List: l, document: d}
		c.checkDocument()
	}
	if err := l.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// Validate checks that the text is a document of the given service. The error is
// an *Error that lists every problem.
func Validate(service string, text []byte) error {
	d, err := Parse(service, text)
	if err != nil {
		return err
	}
	l := problem.NewList(service)
	if string(d.Service) != service {
		l.Add("service", service, problem.Quote(string(d.Service)))
	}
	return l.Err()
}

// Format returns the canonical text of a document.
func Format(d *Document) []byte {
	c := *d
	if c.Accounts == nil {
		c.Accounts = []AccountSpec{}
	}
	text, err := json.MarshalIndent(&c, "", "  ")
	if err != nil {
		// Marshalling fails only for numbers that are not finite, which Parse rejects.
		panic(err)
	}
	return append(text, '\n')
}
