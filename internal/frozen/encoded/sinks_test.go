package encoded

import (
	"go/ast"
	"go/types"
)

// sink is a function parameter whose argument is encoded or decoded.
type sink struct {
	function string // in the form of types.Func.FullName
	param    int
}

// librarySinks are the sinks of libraries, with the names of their formats.
var librarySinks = map[sink]string{
	{"encoding/json.Marshal", 0}:                            "json",
	{"encoding/json.MarshalIndent", 0}:                      "json",
	{"encoding/json.Unmarshal", 1}:                          "json",
	{"(*encoding/json.Encoder).Encode", 0}:                  "json",
	{"(*encoding/json.Decoder).Decode", 0}:                  "json",
	{"github.com/BurntSushi/toml.Decode", 1}:                "toml",
	{"github.com/BurntSushi/toml.Unmarshal", 1}:             "toml",
	{"github.com/BurntSushi/toml.Marshal", 0}:               "toml",
	{"(*github.com/BurntSushi/toml.Encoder).Encode", 0}:     "toml",
	{"(*encoding/xml.Encoder).Encode", 0}:                   "xml",
	{"encoding/xml.Marshal", 0}:                             "xml",
	{"encoding/xml.MarshalIndent", 0}:                       "xml",
	{"github.com/parquet-go/parquet-go.NewWriter", 1}:       "parquet",
	{"(*encoding/gob.Encoder).Encode", 0}:                   "gob",
	{"(*encoding/gob.Decoder).Decode", 0}:                   "gob",
	{"github.com/parquet-go/parquet-go.WriteFile", 1}:       "parquet",
	{"github.com/parquet-go/parquet-go.ReadFile", 1}:        "parquet",
	{"github.com/parquet-go/parquet-go.NewReader", 1}:       "parquet",
	{"(*github.com/parquet-go/parquet-go.Writer).Write", 0}: "parquet",
}

// root is the type of a value that is passed to an encoder or decoder.
type root struct {
	format string
	typ    types.Type
}

// encodedTypes returns the types of the values that reach an encoder or decoder, directly or through
// functions of this module that pass a parameter on. It repeats until it finds no further sinks.
func encodedTypes(all []*checkedPackage) []root {
	var roots []root
	sinks := map[sink]string{}
	for s, format := range librarySinks {
		sinks[s] = format
	}
	for before := 0; before != len(sinks); {
		before = len(sinks)
		roots = roots[:0]
		for _, c := range all {
			for _, f := range c.files {
				for _, d := range f.Decls {
					roots = c.addCalls(d, sinks, roots)
				}
			}
		}
	}
	return roots
}

// addCalls examines the calls within a declaration. It appends the type of each argument for a sink to roots.
// If such an argument is itself a parameter of the declared function, it adds that parameter to sinks.
func (c *checkedPackage) addCalls(d ast.Decl, sinks map[sink]string, roots []root) []root {
	params := map[types.Object]sink{}
	if f, ok := d.(*ast.FuncDecl); ok {
		fn := c.info.Defs[f.Name].(*types.Func)
		for i := range fn.Signature().Params().Len() {
			params[fn.Signature().Params().At(i)] = sink{fn.FullName(), i}
		}
	}
	ast.Inspect(d, func(n ast.Node) bool {
		if literal, ok := n.(*ast.FuncLit); ok && c.returnsPrinted(literal) {
			roots = c.addPrinted(literal, roots)
		}
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		fn := c.callee(call)
		if fn == nil {
			return true
		}
		for i, arg := range call.Args {
			format, ok := sinks[sink{fn.FullName(), i}]
			if !ok {
				continue
			}
			typ := c.info.Types[arg].Type
			if id, ok := arg.(*ast.Ident); ok && types.IsInterface(typ) {
				if from, ok := params[c.info.Uses[id]]; ok {
					sinks[from] = format
				}
			}
			roots = append(roots, root{format, typ})
		}
		return true
	})
	return roots
}

// returnsPrinted reports whether a function literal returns the output of a command: a value, which the
// caller encodes as JSON, and a table as the alternative output format.
func (c *checkedPackage) returnsPrinted(literal *ast.FuncLit) bool {
	signature, ok := c.info.Types[literal].Type.(*types.Signature)
	if !ok || signature.Results().Len() != 3 {
		return false
	}
	value, second := signature.Results().At(0).Type(), signature.Results().At(1).Type()
	named, ok := second.(*types.Named)
	return ok && types.IsInterface(value) && named.Obj().Name() == "table"
}

// addPrinted adds the types of the values that a function literal returns as a command's output.
func (c *checkedPackage) addPrinted(literal *ast.FuncLit, roots []root) []root {
	ast.Inspect(literal.Body, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.FuncLit:
			return false
		case *ast.ReturnStmt:
			if typ := c.info.Types[n.Results[0]].Type; !types.IsInterface(typ) {
				roots = append(roots, root{"json", typ})
			}
		}
		return true
	})
	return roots
}

// callee returns the function that is called, or nil if it is not a named function.
func (c *checkedPackage) callee(call *ast.CallExpr) *types.Func {
	fun := ast.Unparen(call.Fun)
	switch x := fun.(type) {
	case *ast.IndexExpr: // with a type argument
		fun = x.X
	case *ast.IndexListExpr:
		fun = x.X
	}
	var id *ast.Ident
	switch x := fun.(type) {
	case *ast.Ident:
		id = x
	case *ast.SelectorExpr:
		id = x.Sel
	default:
		return nil
	}
	fn, _ := c.info.Uses[id].(*types.Func)
	if fn != nil {
		fn = fn.Origin()
	}
	return fn
}
