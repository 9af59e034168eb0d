package scheduler

import (
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestPartsWriteOnlyTheirOwnFields checks that only the methods of a part of Core write the fields of
// that part, so that its type shows everything that can change it. Writes through a pointer that was
// stored in a variable aren't found.
func TestPartsWriteOnlyTheirOwnFields(t *testing.T) {
	fset := token.NewFileSet()
	files := parsePackage(t, fset)
	parts := coreParts(t, files)
	owners := map[string]bool{"Core": true}
	for _, typ := range parts {
		owners[typ] = true
	}
	forEachWrite(files, func(method *ast.FuncDecl, path []string, at token.Pos) {
		if !owners[receiverType(method)] || len(path) < 3 || path[0] != receiverName(method) || parts[path[1]] == "" {
			return
		}
		t.Errorf("%s: %s writes the field %s of part %s", fset.Position(at), method.Name.Name, path[2], path[1])
	})
}

// TestPartsReadOnlyPartsDeclaredBeforeThem checks that the parts of Core depend on each other in one
// direction only.
func TestPartsReadOnlyPartsDeclaredBeforeThem(t *testing.T) {
	files := parsePackage(t, token.NewFileSet())
	position := map[string]int{} // position of a part in Core, from 1, by type
	for i, field := range structFields(files, "Core") {
		if typ, ok := field.Type.(*ast.Ident); ok {
			position[typ.Name] = i + 1
		}
	}
	found := 0
	for _, part := range coreParts(t, files) {
		for _, field := range structFields(files, part) {
			pointer, ok := field.Type.(*ast.StarExpr)
			if !ok {
				continue
			}
			read, ok := pointer.X.(*ast.Ident)
			if !ok || position[read.Name] == 0 {
				continue
			}
			found++
			if position[read.Name] >= position[part] {
				t.Errorf("part %s reads %s, which is not declared above it", part, read.Name)
			}
		}
	}
	if found < 20 {
		t.Errorf("%d references between parts found, want at least 20", found)
	}
}

// recordOwners maps the type of each part of a job or a machine to the part of Core that may write it,
// besides its own methods.
var recordOwners = map[string]string{
	"contact":         "agents",
	"machineCommands": "commands",
	"capacity":        "placement",
	"indexEntry":      "placement",
	"rental":          "scaleInRequests",
	"machineRecord":   "jobTable",
	"machineHealth":   "placement",
	"machineEviction": "drainPlans",
	"request":         "placement",
	"priority":        "jobTable",
	"progress":        "jobTable",
	"jobEnd":          "jobTable",
	"jobPlacement":    "placement",
	"retry":           "placement",
	"jobRecord":       "jobTable",
	"transfer":        "delegations",
}

// scalarRecords lists the types of fields of jobs and machines that have no fields of their own.
var scalarRecords = []string{"machineState"}

// TestRecordsAreWrittenByTheirOwners checks that the parts of a job and of a machine are written only by
// their own methods and by those of the part of Core that owns them.
func TestRecordsAreWrittenByTheirOwners(t *testing.T) {
	fset := token.NewFileSet()
	files := parsePackage(t, fset)
	records := fieldsOf(files, "job")
	for name, typ := range fieldsOf(files, "machine") {
		records[name] = typ
	}
	checkRecordOwners(t, records, coreParts(t, files))
	coreAndParts := map[string]bool{"Core": true}
	for _, typ := range coreParts(t, files) {
		coreAndParts[typ] = true
	}
	found := 0
	forEachWrite(files, func(method *ast.FuncDecl, path []string, at token.Pos) {
		for i := 1; i < len(path)-1; i++ {
			typ := records[path[i]]
			owner := recordOwners[typ]
			receiver := receiverType(method)
			if owner == "" || i == 1 && path[0] == receiverName(method) && coreAndParts[receiver] {
				continue // not a part of a job or machine
			}
			found++
			if receiver != typ && receiver != owner {
				t.Errorf("%s: %s writes the field %s of %s", fset.Position(at), method.Name.Name, path[i+1], typ)
			}
		}
	})
	if found < 20 {
		t.Errorf("%d writes found, want at least 20", found)
	}
}

// checkRecordOwners checks that recordOwners lists the types of the given records and of no others, and
// that their owners are parts of Core. Scalars have no owner.
func checkRecordOwners(t *testing.T, records, parts map[string]string) {
	t.Helper()
	used := map[string]bool{}
	for name, typ := range records {
		used[typ] = true
		if recordOwners[typ] == "" && !slices.Contains(scalarRecords, typ) {
			t.Errorf("recordOwners lacks %s, the type of the field %s of a job or machine", typ, name)
		}
	}
	owners := map[string]bool{}
	for _, typ := range parts {
		owners[typ] = true
	}
	for typ, owner := range recordOwners {
		if !used[typ] {
			t.Errorf("recordOwners lists %s, which is no type of a field of a job or machine", typ)
		}
		if !owners[owner] {
			t.Errorf("recordOwners names %s as an owner, which is no part of Core", owner)
		}
	}
}

// forEachWrite calls f for each write in a method of this package, with the selector path of the
// expression that is written.
func forEachWrite(files []*ast.File, f func(method *ast.FuncDecl, path []string, at token.Pos)) {
	for _, file := range files {
		for _, decl := range file.Decls {
			method, ok := decl.(*ast.FuncDecl)
			if !ok || method.Recv == nil {
				continue
			}
			ast.Inspect(method.Body, func(n ast.Node) bool {
				for _, written := range assignedExprs(n) {
					f(method, selectorPath(written), n.Pos())
				}
				return true
			})
		}
	}
}

// parsePackage parses the files of this package except its tests.
func parsePackage(t *testing.T, fset *token.FileSet) (files []*ast.File) {
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

// receiverType returns the name of the type of a method's receiver.
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

// receiverName returns the name of a method's receiver.
func receiverName(method *ast.FuncDecl) string {
	if names := method.Recv.List[0].Names; len(names) > 0 {
		return names[0].Name
	}
	return ""
}

// coreParts returns the parts of Core, which are its fields with types of this package, and their
// types.
func coreParts(t *testing.T, files []*ast.File) map[string]string {
	t.Helper()
	parts := fieldsOf(files, "Core")
	delete(parts, "cfg")
	if len(parts) < 10 {
		t.Fatalf("%d parts found, want at least 10: %v", len(parts), parts)
	}
	return parts
}

// fieldsOf returns the fields of a struct that have types of this package, and these types.
func fieldsOf(files []*ast.File, structName string) map[string]string {
	fields := map[string]string{}
	for _, field := range structFields(files, structName) {
		if typ, local := field.Type.(*ast.Ident); local && types.Universe.Lookup(typ.Name) == nil {
			for _, name := range field.Names {
				fields[name.Name] = typ.Name
			}
		}
	}
	return fields
}

// structFields returns the fields of a struct in order, or nil if there is no such struct.
func structFields(files []*ast.File, structName string) []*ast.Field {
	for _, file := range files {
		if declared := file.Scope.Lookup(structName); declared != nil {
			if typ, ok := declared.Decl.(*ast.TypeSpec).Type.(*ast.StructType); ok {
				return typ.Fields.List
			}
		}
	}
	return nil
}

// assignedExprs returns the expressions that a node assigns to, increments, deletes from or clears.
func assignedExprs(n ast.Node) []ast.Expr {
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

// selectorPath returns the names in an expression A.B[...].C, and nil for any other expression.
func selectorPath(e ast.Expr) []string {
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
			path = append(path, x.Name)
			slices.Reverse(path)
			return path
		default:
			return nil
		}
	}
}
