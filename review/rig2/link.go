package main

import (
	"io"
	"net"
	"sync"
)

// link is a forwarder between a node and a server that can be cut: connections that are open then, and those
// that are opened while it is cut, stay open and silent for ever.
type link struct {
	world  *world
	name   string
	target string
	l      net.Listener

	mu   sync.Mutex
	cut  bool
	open map[*linkPair]bool
	held []net.Conn // opened while the link was cut
}

type linkPair struct {
	mu     sync.Mutex
	frozen bool
}

func startLink(w *world, name, target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{world: w, name: name, target: target, l: l, open: map[*linkPair]bool{}}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.l.Addr().String() }

func (k *link) accept() {
	for {
		c, err := k.l.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		cut := k.cut
		if cut {
			k.held = append(k.held, c)
		}
		k.mu.Unlock()
		if cut {
			k.world.logf("link %s: a new connection is silent: the link is cut", k.name)
			continue
		}
		go k.forward(c)
	}
}

func (k *link) forward(c net.Conn) {
	up, err := net.Dial("tcp", k.target)
	if err != nil {
		c.Close()
		return
	}
	p := &linkPair{}
	k.mu.Lock()
	k.open[p] = true
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	for _, way := range [][2]net.Conn{{c, up}, {up, c}} {
		go func() {
			defer both.Done()
			p.copy(way[1], way[0])
		}()
	}
	both.Wait()
	c.Close()
	up.Close()
	k.mu.Lock()
	delete(k.open, p)
	k.mu.Unlock()
}

// copy forwards one way until an end closes. What arrives after a cut is dropped.
func (p *linkPair) copy(to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		if !p.frozen && n > 0 {
			_, _ = to.Write(buf[:n])
		}
		frozen := p.frozen
		p.mu.Unlock()
		if err != nil {
			if err == io.EOF && !frozen {
				_ = to.(*net.TCPConn).CloseWrite()
			}
			return
		}
	}
}

// setCut cuts the link, or heals it for new connections.
func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	k.world.logf("link %s: cut=%v", k.name, cut)
	if cut {
		for p := range k.open {
			p.mu.Lock()
			p.frozen = true
			p.mu.Unlock()
		}
	}
}
