package keys

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// holder issues a certificate and opens it.
func holder(t *testing.T, ca *KeyPair, name string, role Role, now time.Time, life time.Duration) *Reloader {
	t.Helper()
	dir := t.TempDir()
	p, err := ca.Issue(name, role, now, life)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Write(dir, name, false); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "ca.crt"), ca.Cert, 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := NewReloader(
		Files{filepath.Join(dir, "ca.crt"), filepath.Join(dir, name+".crt"), filepath.Join(dir, name+".key")},
		quiet(),
	)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// greet has two holders meet, and gives what each of them made of it.
func greet(server, client *Reloader, wanted string) error {
	// Not net.Pipe: there, an alert that nobody reads yet holds both sides.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer l.Close()
	b, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return err
	}
	defer b.Close()
	a, err := l.Accept()
	if err != nil {
		return err
	}
	defer a.Close()
	for _, c := range []net.Conn{a, b} {
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	}
	done := make(chan error, 1)
	go func() {
		s := tls.Server(a, server.ServerTLSConfig(RoleInstance))
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte("x"))
		}
		a.Close()
		done <- err
	}()
	c := tls.Client(b, client.ClientTLSConfig(wanted))
	err = c.Handshake()
	if err == nil {
		// Under TLS 1.3 the client hears of a refusal with its first read.
		_, err = c.Read(make([]byte, 1))
	}
	b.Close()
	if other := <-done; err == nil {
		err = other
	}
	return err
}

func TestWhoIsLetIn(t *testing.T) {
	now := time.Now()
	ca, err := NewCA("a", now, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	foreign, err := NewCA("b", now, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	n1 := holder(t, ca, "n1", RoleInstance, now, time.Hour)
	n2 := holder(t, ca, "n2", RoleInstance, now, time.Hour)
	if err := greet(n1, n2, "n1"); err != nil {
		t.Errorf("two instances of one authority: %v", err)
	}
	long := now.Add(-48 * time.Hour)
	oldCA, err := NewCA("a", long, 1000*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	for what, c := range map[string]struct {
		server, client *Reloader
		name           string
	}{
		"another's name":         {n1, n2, "n3"},
		"a foreign client":       {n1, holder(t, foreign, "n2", RoleInstance, now, time.Hour), "n1"},
		"a foreign server":       {holder(t, foreign, "n1", RoleInstance, now, time.Hour), n2, "n1"},
		"a reader as a peer":     {n1, holder(t, ca, "desk", RoleReader, now, time.Hour), "n1"},
		"an operator as a peer":  {n1, holder(t, ca, "op", RoleOperator, now, time.Hour), "n1"},
		"an operator's listener": {holder(t, ca, "op", RoleOperator, now, time.Hour), n2, "op"},
		"an expired client": {holder(t, oldCA, "n1", RoleInstance, now, time.Hour),
			holder(t, oldCA, "n2", RoleInstance, long, time.Hour), "n1"},
		"an expired server": {holder(t, oldCA, "n1", RoleInstance, long, time.Hour),
			holder(t, oldCA, "n2", RoleInstance, now, time.Hour), "n1"},
	} {
		if err := greet(c.server, c.client, c.name); err == nil {
			t.Errorf("%s is let in", what)
		}
	}
}

func TestWhatIsNotIssued(t *testing.T) {
	now := time.Now()
	ca, err := NewCA("a", now, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"", "N1", "n 1", "-n", "n1.example", strings.Repeat("n", 64), "../n1"} {
		if _, err := ca.Issue(name, RoleInstance, now, time.Hour); err == nil {
			t.Errorf("%q is issued", name)
		}
	}
	if _, err := ca.Issue("n1", "king", now, time.Hour); err == nil {
		t.Error("an unknown role is issued")
	}
	p, err := ca.Issue("n1", RoleInstance, now, 100*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	c, err := p.Certificate()
	if err != nil || c.NotAfter.After(now.Add(time.Hour+time.Second)) {
		t.Errorf("it outlives its authority: %v %v", c.NotAfter, err)
	}
	if _, err := p.Issue("n2", RoleInstance, now, time.Hour); err == nil {
		t.Error("an instance issues certificates")
	}
	dir := t.TempDir()
	if err := p.Write(dir, "n1", false); err != nil {
		t.Fatal(err)
	}
	if err := p.Write(dir, "n1", false); err == nil {
		t.Error("files that are there are written over without being told to")
	}
	if info, err := os.Stat(filepath.Join(dir, "n1.key")); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the key's mode is %v, %v", info.Mode(), err)
	}
}
