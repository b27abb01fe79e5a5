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

// checkedPackage is a type-checked package of this module.
type checkedPackage struct {
	files []*ast.File
	types *types.Package
	info  *types.Info
}

// listedPackage is a package in the output of go list.
type listedPackage struct {
	ImportPath, Dir, Export string
	GoFiles                 []string
}

// packages returns all packages of this module, type-checked once and without their tests.
func packages(t *testing.T) []*checkedPackage {
	t.Helper()
	all, err := loadPackages()
	if err != nil {
		t.Fatal(err)
	}
	return all
}

var loadPackages = sync.OnceValues(func() ([]*checkedPackage, error) {
	modulePackages, export, err := listPackages()
	if err != nil {
		return nil, err
	}
	fset := token.NewFileSet()
	imports := importer.ForCompiler(fset, "gc", func(path string) (io.ReadCloser, error) {
		return os.Open(export[path])
	})
	var all []*checkedPackage
	for _, p := range modulePackages {
		c := &checkedPackage{info: &types.Info{Types: map[ast.Expr]types.TypeAndValue{},
			Uses: map[*ast.Ident]types.Object{}, Defs: map[*ast.Ident]types.Object{}}}
		// Without these reads, go test would return a cached result although a file was added: its cache
		// tracks only the folders that the test itself reads, not those that the go command reads.
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

// listPackages runs go list. It returns the packages of this module, and the export data files of these and
// of the packages that they import.
func listPackages() (modulePackages []listedPackage, export map[string]string, err error) {
	cmd := exec.Command("go", "list", "-export", "-deps", "-json=ImportPath,Dir,Export,GoFiles",
		module+"/...")
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return nil, nil, err
	}
	export = map[string]string{}
	for in := json.NewDecoder(bytes.NewReader(out)); ; {
		var p listedPackage
		if err := in.Decode(&p); errors.Is(err, io.EOF) {
			return modulePackages, export, nil
		} else if err != nil {
			return nil, nil, err
		}
		export[p.ImportPath] = p.Export
		if inModule(p.ImportPath) {
			modulePackages = append(modulePackages, p)
		}
	}
}
