package encoded

import (
	"fmt"
	"go/types"
	"reflect"
	"slices"
	"strings"
)

// shapes describes the encoded form of types: keys, kinds and options. The description leaves out the names
// of Go types and packages of this module.
type shapes struct {
	format string
	seen   map[string]bool // structs of this module that have been described
	stack  []string
	lines  []string
}

// describe returns the description of a type, a line for each key.
func (s *shapes) describe(t types.Type) string {
	s.lines, s.stack = nil, nil
	s.walk("", "", t)
	return strings.Join(s.lines, "\n")
}

func (s *shapes) add(path, options, kind string) {
	s.lines = append(s.lines, strings.TrimRight(fmt.Sprintf("  %s  %s  %s", path, kind, options), " "))
}

func (s *shapes) walk(path, options string, t types.Type) {
	t = types.Unalias(t)
	if name := customEncoding(t); name != "" {
		s.add(path, options, name)
		return
	}
	if n, ok := t.(*types.Named); ok && n.Obj().Pkg() != nil && !inModule(n.Obj().Pkg().Path()) {
		s.add(path, options, n.Obj().Pkg().Path()+"."+n.Obj().Name())
		return
	}
	switch u := t.Underlying().(type) {
	case *types.Pointer:
		s.walk(path, options, u.Elem())
	case *types.Slice:
		if b, ok := u.Elem().Underlying().(*types.Basic); ok && b.Kind() == types.Byte {
			s.add(path, options, "bytes")
			return
		}
		s.walk(path+"[]", options, u.Elem())
	case *types.Array:
		s.walk(fmt.Sprintf("%s[%d]", path, u.Len()), options, u.Elem())
	case *types.Map:
		key := customEncoding(u.Key())
		if key == "" {
			key = u.Key().Underlying().String()
		}
		s.walk(path+"{"+key+"}", options, u.Elem())
	case *types.Interface:
		s.add(path, options, "any")
	case *types.Struct:
		s.walkStruct(path, options, t, u)
	default:
		s.add(path, options, t.Underlying().String())
	}
}

func (s *shapes) walkStruct(path, options string, t types.Type, u *types.Struct) {
	id := identity(t)
	s.seen[id] = true
	if slices.Contains(s.stack, id) {
		s.add(path, options, "(again)")
		return
	}
	s.stack = append(s.stack, id)
	defer func() { s.stack = s.stack[:len(s.stack)-1] }()
	if path != "" {
		s.add(path, options, "object")
	}
	for i := range u.NumFields() {
		f := u.Field(i)
		name, more, tagged := strings.Cut(reflect.StructTag(u.Tag(i)).Get(s.format), ",")
		if name == "-" && !tagged || !f.Exported() && !f.Embedded() {
			continue
		}
		if name == "" && f.Embedded() {
			s.walk(path, options, f.Type())
			continue
		}
		if name == "" {
			name = f.Name()
		}
		if s.format == "toml" { // TOML keys are matched without regard to case
			name = strings.ToLower(name)
		}
		s.walk(strings.TrimPrefix(path+"."+name, "."), more, f.Type())
	}
}

// customEncoding describes the encoding of a type of this module that encodes itself. It returns an empty
// string for any other type.
func customEncoding(t types.Type) string {
	n, ok := types.Unalias(t).(*types.Named)
	if !ok || !inModule(n.Obj().Pkg().Path()) {
		return ""
	}
	methods := types.NewMethodSet(types.NewPointer(n))
	for _, name := range []string{"MarshalJSON", "UnmarshalJSON", "MarshalText", "UnmarshalText"} {
		if methods.Lookup(nil, name) != nil {
			form := "own text"
			if strings.HasSuffix(name, "JSON") {
				form = "own JSON"
			}
			if _, ok := n.Underlying().(*types.Basic); ok {
				form += " of " + n.Underlying().String()
			}
			return form
		}
	}
	return ""
}

func inModule(path string) bool { return path == module || strings.HasPrefix(path, module+"/") }

// identity returns a name for a type that is the same whether the type was read from source or from export
// data.
func identity(t types.Type) string { return types.TypeString(t, nil) }
