package encoded

import (
	"bytes"
	"encoding/json"
	"errors"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

const module = "moorstack"

// checked is a package of this module, with the types of all that its sources name.
type checked struct {
	files []*ast.File
	types *types.Package
	info  *types.Info
}

// listed is a package as the go command lists it.
type listed struct {
	ImportPath, Dir, Export string
	GoFiles                 []string
}

// packages checks the types of all packages of this module, without their tests, once.
func packages(t *testing.T) []*checked {
	t.Helper()
	all, err := load()
	if err != nil {
		t.Fatal(err)
	}
	return all
}

var load = sync.OnceValues(func() ([]*checked, error) {
	own, export, err := list()
	if err != nil {
		return nil, err
	}
	fset := token.NewFileSet()
	imports := importer.ForCompiler(fset, "gc", func(path string) (io.ReadCloser, error) {
		return os.Open(export[path])
	})
	var all []*checked
	for _, p := range own {
		c := &checked{info: &types.Info{Types: map[ast.Expr]types.TypeAndValue{},
			Uses: map[*ast.Ident]types.Object{}, Defs: map[*ast.Ident]types.Object{}}}
		// Hazard: go test would give a result from its cache though a file was added: it does not see what
		// the go command reads, only folders that the test reads itself.
		for _, dir := range []string{p.Dir, filepath.Dir(p.Dir)} {
			if _, err := os.ReadDir(dir); err != nil {
				return nil, err
			}
		}
		for _, name := range p.GoFiles {
			f, err := parser.ParseFile(fset, filepath.Join(p.Dir, name), nil, parser.SkipObjectResolution)
			if err != nil {
				return nil, err
			}
			c.files = append(c.files, f)
		}
		config := types.Config{Importer: imports}
		if c.types, err = config.Check(p.ImportPath, fset, c.files, c.info); err != nil {
			return nil, err
		}
		all = append(all, c)
	}
	return all, nil
})

// list runs the go command to list the packages of this module, and the compiled ones that they import.
func list() (own []listed, export map[string]string, err error) {
	cmd := exec.Command("go", "list", "-export", "-deps", "-json=ImportPath,Dir,Export,GoFiles",
		module+"/...")
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return nil, nil, err
	}
	export = map[string]string{}
	for in := json.NewDecoder(bytes.NewReader(out)); ; {
		var p listed
		if err := in.Decode(&p); errors.Is(err, io.EOF) {
			return own, export, nil
		} else if err != nil {
			return nil, nil, err
		}
		export[p.ImportPath] = p.Export
		if ours(p.ImportPath) {
			own = append(own, p)
		}
	}
}
