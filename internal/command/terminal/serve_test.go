package terminal

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/config/secret"
	"wisteriakeel.example/wisteriakeel/internal/config/settings"
	"wisteriakeel.example/wisteriakeel/internal/kernel/plugin"
	"wisteriakeel.example/wisteriakeel/internal/kernel/role"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
)

const operatorToken = "operator-token-0001"

// freeAddress returns an address with a port that is not in use.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// testCredentials returns credentials with one operator.
func testCredentials(t *testing.T) *secret.Credentials {
	t.Helper()
	c, err := secret.Parse("secrets.json", []byte(`{"operators":[{"name":"team","token":"`+operatorToken+
		`","services":["pool"]}],"peer":"peer-token-00000001"}`))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// startProcess runs a process with the given entry role. It returns the address, once the
// process accepts connections, and a channel that receives the result of run.
func startProcess(ctx context.Context, t *testing.T, shutdownTimeout time.Duration, setUp role.SetupFunc) (address string, ended chan error) {
	t.Helper()
	address = freeAddress(t)
	s, err := settings.Parse("settings.json", fmt.Appendf(nil, `{"instance":"e1","zone":"lakes-a","region":"great-lakes",
		"roles":["entry"],"listen":{"http":%q},"control":["127.0.0.1:9080"],"secrets":"secrets.json"}`, address))
	if err != nil {
		t.Fatal(err)
	}
	log, level, err := journal.New(io.Discard, "info")
	if err != nil {
		t.Fatal(err)
	}
	p := newProcess(ctx, s, testCredentials(t), log, level)
	p.shutdownTimeout = shutdownTimeout
	p.registry = plugin.NewRegistry[role.SetupFunc]("role")
	p.registry.Register("entry", setUp)
	ended = make(chan error, 1)
	go func() { ended <- p.run() }()
	for range 100 {
		if c, err := net.Dial("tcp", address); err == nil {
			c.Close()
			return address, ended
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the listener did not open")
	return "", nil
}

// Guards against a shutdown that interrupts a request in progress, closes the listener
// before the roles have drained, or stops the goroutines of a role that requests still need.
func TestShutdownOrder(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	var order []string
	record := func(event string) {
		mu.Lock()
		defer mu.Unlock()
		order = append(order, event)
	}
	entered, release, draining, drained := make(chan bool), make(chan bool), make(chan bool), make(chan bool)
	address, ended := startProcess(ctx, t, time.Minute, func(_ context.Context, e role.Env) error {
		e.Mux.HandleFunc("/slow", func(w http.ResponseWriter, _ *http.Request) {
			close(entered)
			<-release
			record("answered")
			_, _ = io.WriteString(w, "complete")
		})
		e.Mux.HandleFunc("/quick", func(http.ResponseWriter, *http.Request) {})
		e.OnDrain(func(context.Context) error {
			close(draining)
			<-drained
			record("drained")
			return nil
		})
		e.Group.Go("member", func(ctx context.Context) error {
			<-ctx.Done()
			record("role stopped")
			return nil
		})
		return nil
	})
	body := make(chan string, 1)
	go func() {
		r, err := http.Get("http://" + address + "/slow")
		if err != nil {
			body <- err.Error()
			return
		}
		defer r.Body.Close()
		text, _ := io.ReadAll(r.Body)
		body <- string(text)
	}()
	<-entered
	cancel()
	<-draining
	r, err := http.Get("http://" + address + "/quick")
	is.NoErr(err) // the instance still serves while it drains
	r.Body.Close()
	close(drained)
	time.Sleep(20 * time.Millisecond)
	close(release)
	is.Equal(<-body, "complete")
	is.NoErr(<-ended)
	is.Equal(order, []string{"drained", "answered", "role stopped"})
}

// Guards against a shutdown that waits forever for a drain function or request that hangs.
func TestShutdownTimeout(t *testing.T) { stopWithHangingRequest(t) }

// Guards against a shutdown that interrupts requests without returning an error.
func TestInterruptedShutdownReturnsError(t *testing.T) {
	is := is.New(t)
	for range 5 {
		is.True(stopWithHangingRequest(t) != nil)
	}
}

// stopWithHangingRequest stops a process whose drain function and request hang, and returns
// the error of the process.
func stopWithHangingRequest(t *testing.T) (err error) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	entered, hang := make(chan bool), make(chan bool)
	defer close(hang)
	address, ended := startProcess(ctx, t, 100*time.Millisecond, func(_ context.Context, e role.Env) error {
		e.Mux.HandleFunc("/hang", func(http.ResponseWriter, *http.Request) {
			close(entered)
			<-hang
		})
		e.OnDrain(func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		})
		return nil
	})
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /hang HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-entered
	cancel()
	select {
	case err = <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the process did not end")
	}
	return err
}

// Guards against debug handlers that do not require an operator's credential, and against a
// log level that cannot be changed at run time.
func TestDebugLevel(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	address, ended := startProcess(ctx, t, time.Minute, func(context.Context, role.Env) error { return nil })
	put := func(token string) (int, string) {
		r, err := http.NewRequest(http.MethodPut, "http://"+address+"/debug/level", strings.NewReader(`{"level":"debug"}`))
		is.NoErr(err)
		r.Header.Set("Authorization", "Bearer "+token)
		a, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		defer a.Body.Close()
		text, _ := io.ReadAll(a.Body)
		return a.StatusCode, string(text)
	}
	code, text := put("someone-elses-token")
	is.Equal(code, http.StatusUnauthorized)
	is.True(strings.Contains(text, `"outcome":"not run"`))
	code, text = put(operatorToken)
	is.Equal(code, http.StatusOK)
	is.True(strings.Contains(text, `"debug"`))
	cancel()
	is.NoErr(<-ended)
}

// Guards against an invalid settings file that is reported with the exit code of a failure
// at run time.
func TestServeRejectsInvalidSettings(t *testing.T) {
	is := is.New(t)
	path := t.TempDir() + "/settings.json"
	writeFile(t, path, `{"instance":"e1","rolls":[]}`)
	var out, errout bytes.Buffer
	is.Equal(Main([]string{"serve", "-c", path}, &out, &errout), ExitUsage)
	is.True(strings.Contains(errout.String(), path+": rolls: expected one of instance, "))
	is.True(strings.Contains(errout.String(), path+": listen.http: expected an IP address and port"))
}
