package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// group is three instances that agree on their configuration, started with the deploy file's command.
type group struct {
	world     *world
	names     []string
	listen    map[string]string // the fronts' addresses
	peers     map[string]string
	processes map[string]*process
}

// newGroup writes the files of three instances and forms their group. discovery is discovery's address for each.
func newGroup(w *world, discovery func(name string) string, sections string) (*group, error) {
	g := &group{world: w, names: []string{"n1", "n2", "n3"}, listen: map[string]string{},
		peers: map[string]string{}, processes: map[string]*process{}}
	if _, err := g.command("keys", "new-ca"); err != nil {
		return nil, err
	}
	for n, name := range g.names {
		g.listen[name], g.peers[name] = freeAddress(), freeAddress()
		at := discovery(name)
		if _, err := w.nodeConfig("platform-"+name, n, len(g.names), g.listen[name], at); err != nil {
			return nil, err
		}
		if _, err := g.command("keys", "issue", name); err != nil {
			return nil, err
		}
		text := fmt.Sprintf("name = %[1]q\ndata = \"data-%[1]s\"\n[front]\nplatform = \"platform-%[1]s.json\"\n"+
			"listen = %[2]q\ndiscovery = %[3]q\n[peers]\nlisten = %[4]q\ntick = \"100ms\"\n"+
			"[keys]\nca = \"keys/ca.crt\"\ncert = \"keys/%[1]s.crt\"\nkey = \"keys/%[1]s.key\"\n"+
			"[control]\nsocket = \"%[1]s.sock\"\n", name, g.listen[name], at, g.peers[name])
		if err := os.WriteFile(filepath.Join(w.dir, name+".toml"), []byte(text), 0o600); err != nil {
			return nil, err
		}
		if err := g.start(name); err != nil {
			return nil, err
		}
	}
	return g, g.form(sections)
}

// form makes the instances one group with the sections in its configuration.
func (g *group) form(sections string) error {
	if err := g.until("cluster", "init", "--config", "n1.toml"); err != nil {
		return err
	}
	for _, name := range g.names[1:] {
		if err := g.until("cluster", "add", name, g.peers[name], "--promote", "--config", "n1.toml"); err != nil {
			return err
		}
	}
	if sections == "" {
		return nil
	}
	return g.configure(sections)
}

// configure appends sections to the group's configuration.
func (g *group) configure(sections string) error {
	document, err := g.command("config", "get", "--config", "n1.toml")
	if err != nil {
		return err
	}
	path := filepath.Join(g.world.dir, "new.toml")
	if err := os.WriteFile(path, []byte(document+"\n"+sections), 0o600); err != nil {
		return err
	}
	return g.until("config", "propose", "new.toml", "--config", "n1.toml")
}

// start starts an instance.
func (g *group) start(name string) error {
	p, err := g.world.spawn(name, g.world.run+" serve --config "+filepath.Join(g.world.dir, name+".toml"))
	g.processes[name] = p
	return err
}

// command runs an operator's command in the temporary folder.
func (g *group) command(args ...string) (string, error) {
	program, err := filepath.Abs("bin/moorstack")
	if err != nil {
		return "", err
	}
	cmd := exec.Command(program, args...)
	cmd.Dir = g.world.dir
	out, err := cmd.CombinedOutput()
	if err != nil {
		return string(out), fmt.Errorf("%v: %w: %s", args, err, out)
	}
	return string(out), nil
}

// until repeats a command until it succeeds, for at most 20 s.
func (g *group) until(args ...string) error {
	var err error
	if eventually(20*time.Second, func() bool {
		_, err = g.command(args...)
		return err == nil
	}) != nil {
		return err
	}
	g.world.logf("done: %s", strings.Join(args, " "))
	return nil
}
