package scheduler

import (
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"path/filepath"
	"strings"
	"testing"
)

// TestPartsWriteOnlyTheirOwnFields: a field of a part of the core is written by the methods of
// that part alone, so that its type shows all that can change it.
func TestPartsWriteOnlyTheirOwnFields(t *testing.T) {
	fset := token.NewFileSet()
	files := parseProduct(t, fset)
	parts := partsOfCore(t, files)
	owners := map[string]bool{"Core": true}
	for _, typ := range parts {
		owners[typ] = true
	}
	for _, file := range files {
		for _, decl := range file.Decls {
			method, ok := decl.(*ast.FuncDecl)
			if !ok || method.Recv == nil || !owners[receiverType(method)] {
				continue
			}
			if len(method.Recv.List[0].Names) == 0 {
				continue
			}
			receiver := method.Recv.List[0].Names[0].Name
			ast.Inspect(method.Body, func(n ast.Node) bool {
				for _, written := range writtenBy(n) {
					if part, field := fieldOfPart(written, receiver, parts); part != "" {
						t.Errorf("%s: %s writes the field %s of part %s", fset.Position(n.Pos()), method.Name.Name, field, part)
					}
				}
				return true
			})
		}
	}
}

// parseProduct parses the files of this package apart from its tests.
func parseProduct(t *testing.T, fset *token.FileSet) (files []*ast.File) {
	t.Helper()
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(fset, name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	return files
}

// receiverType names the type of a method's receiver.
func receiverType(method *ast.FuncDecl) string {
	typ := method.Recv.List[0].Type
	if pointer, ok := typ.(*ast.StarExpr); ok {
		typ = pointer.X
	}
	if name, ok := typ.(*ast.Ident); ok {
		return name.Name
	}
	return ""
}

// partsOfCore lists the parts of the core, which are its fields of types of this package, with
// their types.
func partsOfCore(t *testing.T, files []*ast.File) map[string]string {
	t.Helper()
	parts := map[string]string{}
	for _, file := range files {
		core := file.Scope.Lookup("Core")
		if core == nil {
			continue
		}
		for _, field := range core.Decl.(*ast.TypeSpec).Type.(*ast.StructType).Fields.List {
			if typ, local := field.Type.(*ast.Ident); local && types.Universe.Lookup(typ.Name) == nil {
				for _, name := range field.Names {
					parts[name.Name] = typ.Name
				}
			}
		}
	}
	delete(parts, "cfg")
	if len(parts) < 10 {
		t.Fatalf("only %d parts found: %v", len(parts), parts)
	}
	return parts
}

// writtenBy lists the expressions that a statement assigns to.
func writtenBy(n ast.Node) []ast.Expr {
	switch s := n.(type) {
	case *ast.AssignStmt:
		if s.Tok != token.DEFINE {
			return s.Lhs
		}
	case *ast.IncDecStmt:
		return []ast.Expr{s.X}
	case *ast.CallExpr:
		if f, ok := s.Fun.(*ast.Ident); ok && (f.Name == "delete" || f.Name == "clear") {
			return s.Args[:1]
		}
	}
	return nil
}

// fieldOfPart tells which part, and which field of it, an expression RECEIVER.PART.FIELD... is in.
func fieldOfPart(e ast.Expr, receiver string, parts map[string]string) (part, field string) {
	var path []string
	for {
		switch x := e.(type) {
		case *ast.SelectorExpr:
			path = append(path, x.Sel.Name)
			e = x.X
		case *ast.IndexExpr:
			e = x.X
		case *ast.ParenExpr:
			e = x.X
		case *ast.Ident:
			if x.Name != receiver || len(path) < 2 || parts[path[len(path)-1]] == "" {
				return "", ""
			}
			return path[len(path)-1], path[len(path)-2]
		default:
			return "", ""
		}
	}
}
