package pagecheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// root is the path of the repository's root relative to this folder.
const root = "../../.."

// goPackage lists what the Go files of a folder declare, except tests.
type goPackage struct {
	folder string // relative to the repository's root, with slashes
	name   string
	// declared holds Name for each top-level identifier, and Type.Member for each method, field and method of
	// an interface.
	declared map[string]bool
	// undocumented lists the exported identifiers without a doc comment, with their positions.
	undocumented []string
}

// loadPackages parses all packages of the repository and returns them by folder.
func loadPackages(t *testing.T) map[string]*goPackage {
	t.Helper()
	packages := map[string]*goPackage{}
	for _, top := range []string{"balancer", "cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			return addFile(packages, path)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return packages
}

func addFile(packages map[string]*goPackage, path string) error {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
	if err != nil {
		return err
	}
	folder, err := filepath.Rel(root, filepath.Dir(path))
	if err != nil {
		return err
	}
	folder = filepath.ToSlash(folder)
	p := packages[folder]
	if p == nil {
		p = &goPackage{folder: folder, name: file.Name.Name, declared: map[string]bool{}}
		packages[folder] = p
	}
	collector := collector{pkg: p, files: files, generated: ast.IsGenerated(file)}
	for _, declaration := range file.Decls {
		collector.declaration(declaration)
	}
	return nil
}

// collector adds the declarations of one file to its package.
type collector struct {
	pkg       *goPackage
	files     *token.FileSet
	generated bool
}

func (c collector) declaration(declaration ast.Decl) {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		c.function(d)
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			c.spec(d, spec)
		}
	}
}

func (c collector) function(d *ast.FuncDecl) {
	receiver := ""
	if d.Recv != nil {
		receiver = receiverName(d.Recv.List[0].Type)
		c.pkg.declared[receiver+"."+d.Name.Name] = true
	} else {
		c.pkg.declared[d.Name.Name] = true
	}
	if receiver == "" || ast.IsExported(receiver) {
		c.checkDoc(d.Name, d.Doc)
	}
}

func (c collector) spec(d *ast.GenDecl, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.TypeSpec:
		c.pkg.declared[s.Name.Name] = true
		c.checkDoc(s.Name, d.Doc, s.Doc)
		c.members(s)
	case *ast.ValueSpec:
		for _, name := range s.Names {
			c.pkg.declared[name.Name] = true
			c.checkDoc(name, d.Doc, s.Doc, s.Comment)
		}
	}
}

func (c collector) members(s *ast.TypeSpec) {
	var fields *ast.FieldList
	switch t := s.Type.(type) {
	case *ast.StructType:
		fields = t.Fields
	case *ast.InterfaceType:
		fields = t.Methods
	default:
		return
	}
	for _, field := range fields.List {
		for _, name := range field.Names {
			c.pkg.declared[s.Name.Name+"."+name.Name] = true
		}
	}
}

// checkDoc records an exported identifier if all of its comments are empty.
func (c collector) checkDoc(name *ast.Ident, comments ...*ast.CommentGroup) {
	if c.generated || !name.IsExported() {
		return
	}
	for _, comment := range comments {
		if comment.Text() != "" {
			return
		}
	}
	c.pkg.undocumented = append(c.pkg.undocumented, c.files.Position(name.Pos()).String()+": "+name.Name)
}

func receiverName(expression ast.Expr) string {
	switch e := expression.(type) {
	case *ast.StarExpr:
		return receiverName(e.X)
	case *ast.IndexExpr:
		return receiverName(e.X)
	case *ast.IndexListExpr:
		return receiverName(e.X)
	case *ast.Ident:
		return e.Name
	}
	return ""
}
