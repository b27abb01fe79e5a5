package encoded

import (
	"go/ast"
	"go/constant"
	"go/types"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"moorstack/internal/frozen/golden"
)

var formats = []string{"json", "toml", "xml", "parquet"}

// The keys of all encoded types are unchanged. Renaming a Go field that is encoded without a tag, or changing
// its tag, would otherwise change the keys that files, stored data, other processes and scripts use.
func TestEncodedKeysAreFrozen(t *testing.T) {
	t.Parallel()
	all := packages(t)
	var blocks []string
	seen := map[string]*shapes{}
	for _, format := range formats {
		seen[format] = &shapes{format: format, seen: map[string]bool{}}
	}
	for _, r := range encodedTypes(all) {
		if s := seen[r.format]; s != nil {
			blocks = appendBlock(blocks, r.format, s.describe(r.typ))
		} else {
			t.Errorf("a value is encoded as %s, a format that this test does not cover", r.format)
		}
	}
	// Structs that are encoded in a way that encodedTypes does not find are found by their tags.
	for _, c := range all {
		if c.types.Name() == "schema" { // it has its own golden file
			continue
		}
		for _, f := range c.files {
			ast.Inspect(f, func(n ast.Node) bool {
				if e, ok := n.(ast.Expr); ok {
					blocks = c.describeTagged(e, seen, blocks)
				}
				return true
			})
		}
	}
	slices.Sort(blocks)
	golden.Compare(t, "keys.txt", strings.Join(slices.Compact(blocks), "\n")+"\n")
}

func appendBlock(blocks []string, format, lines string) []string {
	if !strings.Contains(lines, "\n") && !strings.Contains(lines, ".") && strings.HasPrefix(lines, "    ") {
		return blocks // a scalar without keys
	}
	return append(blocks, format+"\n"+lines)
}

// describeTagged describes an expression: a struct type with tags that has not been described yet, or the
// constant keys of a map literal with values of an interface type.
func (c *checkedPackage) describeTagged(e ast.Expr, seen map[string]*shapes, blocks []string) []string {
	switch x := e.(type) {
	case *ast.StructType:
		u, ok := c.info.Types[x].Type.(*types.Struct)
		if !ok {
			return blocks
		}
		for _, format := range formats {
			s := seen[format]
			if hasTag(u, format) && !s.seen[identity(c.namedType(x, u))] {
				blocks = appendBlock(blocks, format, s.describe(u))
			}
		}
	case *ast.CompositeLit:
		m, ok := c.info.Types[x].Type.(*types.Map)
		if !ok || !types.IsInterface(m.Elem()) || len(x.Elts) == 0 {
			return blocks
		}
		var keys []string
		for _, elt := range x.Elts {
			if v := c.info.Types[elt.(*ast.KeyValueExpr).Key].Value; v != nil {
				keys = append(keys, "  "+constant.StringVal(v))
			}
		}
		blocks = append(blocks, "map\n"+strings.Join(keys, "\n"))
	}
	return blocks
}

// namedType returns the named type that has u as its underlying type, or u itself if there is none.
func (c *checkedPackage) namedType(x *ast.StructType, u *types.Struct) types.Type {
	for _, name := range c.types.Scope().Names() {
		if tn, ok := c.types.Scope().Lookup(name).(*types.TypeName); ok && tn.Type().Underlying() == u {
			return tn.Type()
		}
	}
	return u
}

func hasTag(u *types.Struct, format string) bool {
	for i := range u.NumFields() {
		name, _, _ := strings.Cut(reflect.StructTag(u.Tag(i)).Get(format), ",")
		if name != "" && name != "-" {
			return true
		}
	}
	return false
}

var environmentVariable = regexp.MustCompile(`^"[A-Z][A-Z0-9]*_[A-Z0-9_]+"$`)

// The names of the environment variables are unchanged, because deployments set them.
func TestEnvironmentIsFrozen(t *testing.T) {
	t.Parallel()
	var names []string
	for _, c := range packages(t) {
		if c.types.Name() == "schema" { // its enum values look like environment variables
			continue
		}
		for _, f := range c.files {
			ast.Inspect(f, func(n ast.Node) bool {
				switch x := n.(type) {
				case *ast.BasicLit:
					if environmentVariable.MatchString(x.Value) {
						names = append(names, x.Value)
					}
				case *ast.CallExpr:
					if fn := c.callee(x); fn != nil && strings.HasPrefix(fn.FullName(), "os.") &&
						strings.HasSuffix(fn.Name(), "env") && len(x.Args) > 0 {
						if v := c.info.Types[x.Args[0]].Value; v != nil {
							names = append(names, v.ExactString())
						}
					}
				}
				return true
			})
		}
	}
	slices.Sort(names)
	golden.Compare(t, "environment.txt", strings.Join(slices.Compact(names), "\n")+"\n")
}
