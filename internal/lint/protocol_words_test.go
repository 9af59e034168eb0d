package lint

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"unicode"
)

// The protocol has words of its own (baton, flavors, pieces). Struct tags and the values of constants
// contain them because they are part of wire and storage formats; everywhere else the code must use
// the terms of the glossary in docs/design.md. The tests in this file guard against protocol words in
// identifiers, in the names of tagged fields, and in string literals.

// sourceRoot is the path of the repository root from this package's directory.
const sourceRoot = "../.."

// finding is an identifier or a literal that violates a rule, with the reason.
type finding struct {
	file   string
	line   int
	name   string
	reason string
}

func (f finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.file, f.line, f.name, f.reason)
}

// TestProtocolWordsAreNoIdentifiers checks that no declared identifier contains a word of the protocol.
func TestProtocolWordsAreNoIdentifiers(t *testing.T) {
	var found []finding
	for _, source := range productSources(t) {
		found = append(found, forbiddenIdentifiers(source)...)
	}
	reportFindings(t, found, allowedIdentifiers)
}

// TestProtocolFieldsAreNamedByTerms checks that no struct field is named after a tag that is a name
// of the protocol, even if that name is an ordinary word elsewhere.
func TestProtocolFieldsAreNamedByTerms(t *testing.T) {
	var found []finding
	for _, source := range productSources(t) {
		found = append(found, fieldsNamedLikeTags(source)...)
	}
	reportFindings(t, found, allowedFields)
}

// TestProtocolNamesAreNoLiterals checks that no string literal outside of wireDirectories equals a
// name of the protocol.
func TestProtocolNamesAreNoLiterals(t *testing.T) {
	var found []finding
	for _, source := range productSources(t) {
		if !slices.Contains(wireDirectories, filepath.ToSlash(filepath.Dir(source.name))) {
			found = append(found, forbiddenLiterals(source)...)
		}
	}
	reportFindings(t, found, allowedLiterals)
}

// reportFindings fails the test for each finding without an exception, and for each exception that has
// no reason or no finding.
func reportFindings(t *testing.T, found []finding, allowed []exception) {
	t.Helper()
	used := map[exception]bool{}
	for _, f := range found {
		i := slices.IndexFunc(allowed, func(e exception) bool { return e.file == f.file && e.name == f.name })
		if i < 0 {
			t.Errorf("%s", f)
			continue
		}
		used[allowed[i]] = true
	}
	for _, e := range allowed {
		if e.reason == "" {
			t.Errorf("exception %s in %s has no reason", e.name, e.file)
		}
		if !used[e] {
			t.Errorf("exception %s in %s is no longer needed", e.name, e.file)
		}
	}
}

// source is a parsed Go file.
type source struct {
	name    string // slash-separated path from the repository root
	syntax  *ast.File
	fileSet *token.FileSet
}

// productSources parses all Go files of the product under any build tags, without tests,
// testDirectories and generated code.
func productSources(t *testing.T) []source {
	t.Helper()
	var sources []source
	for _, root := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(sourceRoot, root), func(path string, entry fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case entry.IsDir() && (entry.Name() == "testdata" || slices.Contains(testDirectories, pathFromRoot(path))):
				return fs.SkipDir
			case entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
				return nil
			}
			s, err := parseSource(path, nil)
			if err != nil {
				return err
			}
			if !ast.IsGenerated(s.syntax) {
				sources = append(sources, s)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	const minSources = 100 // fewer files mean that the walk missed the sources
	if len(sources) < minSources {
		t.Fatalf("found only %d source files", len(sources))
	}
	return sources
}

// parseSource parses the file at path, or, if text is not nil, that text as the content of the file.
func parseSource(path string, text any) (source, error) {
	fileSet := token.NewFileSet()
	syntax, err := parser.ParseFile(fileSet, path, text, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return source{}, err
	}
	return source{name: pathFromRoot(path), syntax: syntax, fileSet: fileSet}, nil
}

// pathFromRoot converts a path from this package's directory to a slash-separated path from the
// repository root.
func pathFromRoot(path string) string {
	return strings.TrimPrefix(filepath.ToSlash(path), sourceRoot+"/")
}

// lineOf returns the line at which a node begins.
func (s source) lineOf(node ast.Node) int { return s.fileSet.Position(node.Pos()).Line }

// forbiddenIdentifiers returns the identifiers that a source declares and that contain a word of the
// protocol. Uses of a name are not checked: its declaration is, unless it is in generated code, which
// is exempt.
func forbiddenIdentifiers(s source) []finding {
	var found []finding
	check := func(names ...*ast.Ident) {
		for _, name := range names {
			if name == nil {
				continue
			}
			if reason := forbiddenReason(name.Name); reason != "" {
				found = append(found, finding{s.name, s.lineOf(name), name.Name, reason})
			}
		}
	}
	check(s.syntax.Name)
	ast.Inspect(s.syntax, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.FuncDecl:
			check(n.Name)
		case *ast.TypeSpec:
			check(n.Name)
		case *ast.ValueSpec:
			check(n.Names...)
		case *ast.Field: // of structs and interfaces, parameters, results, receivers
			check(n.Names...)
		case *ast.ImportSpec:
			check(n.Name)
		case *ast.LabeledStmt:
			check(n.Label)
		case *ast.AssignStmt:
			if n.Tok == token.DEFINE {
				check(plainIdentifiers(n.Lhs)...)
			}
		case *ast.RangeStmt:
			if n.Tok == token.DEFINE {
				check(plainIdentifiers([]ast.Expr{n.Key, n.Value})...)
			}
		}
		return true
	})
	return found
}

// fieldsNamedLikeTags returns the struct fields whose JSON tag is in ambiguousNames and whose name equals
// the tag, ignoring case and underscores.
func fieldsNamedLikeTags(s source) []finding {
	var found []finding
	ast.Inspect(s.syntax, func(node ast.Node) bool {
		field, ok := node.(*ast.Field)
		if !ok || field.Tag == nil {
			return true
		}
		tag, err := strconv.Unquote(field.Tag.Value)
		if err != nil {
			return true
		}
		key, _, _ := strings.Cut(reflect.StructTag(tag).Get("json"), ",")
		for _, name := range field.Names {
			if strings.EqualFold(name.Name, strings.ReplaceAll(key, "_", "")) && slices.Contains(ambiguousNames, key) {
				found = append(found, finding{s.name, s.lineOf(name), name.Name, "field is named after its protocol tag; use the glossary's term"})
			}
		}
		return true
	})
	return found
}

// plainIdentifiers returns the expressions that are plain identifiers.
func plainIdentifiers(expressions []ast.Expr) []*ast.Ident {
	var names []*ast.Ident
	for _, e := range expressions {
		if name, ok := e.(*ast.Ident); ok {
			names = append(names, name)
		}
	}
	return names
}

// forbiddenReason returns why an identifier is forbidden and which term to use instead, or "" if it is
// allowed.
func forbiddenReason(identifier string) string {
	words := splitWords(identifier)
	for i, word := range words {
		for _, candidate := range []string{word, strings.TrimSuffix(word, "s")} {
			if term, ok := forbiddenWords[candidate]; ok {
				return fmt.Sprintf("%q is a word of the protocol; use %s", word, term)
			}
		}
		if i > 0 {
			if term, ok := forbiddenPairs[[2]string{words[i-1], word}]; ok {
				return fmt.Sprintf("\"%s %s\" is a name of the protocol; use %s", words[i-1], word, term)
			}
		}
	}
	return ""
}

// splitWords splits an identifier at camel-case boundaries and underscores into lower-case words without
// leading or trailing digits. A sequence of capitals is one word: JobID gives job, id; HTTPServer
// gives http, server.
func splitWords(identifier string) []string {
	var words []string
	runes := []rune(identifier)
	start := 0
	cut := func(end int) {
		if word := strings.Trim(string(runes[start:end]), "_0123456789"); word != "" {
			words = append(words, strings.ToLower(word))
		}
		start = end
	}
	for i := 1; i < len(runes); i++ {
		lowerBefore := !unicode.IsUpper(runes[i-1])
		upper := unicode.IsUpper(runes[i])
		lowerAfter := i+1 < len(runes) && unicode.IsLower(runes[i+1])
		if runes[i] == '_' || upper && (lowerBefore || lowerAfter) {
			cut(i)
		}
	}
	cut(len(runes))
	return words
}

// forbiddenLiterals returns the string literals of a source that equal a name of the protocol. Import
// paths are skipped, and struct tags never equal a name, since a tag includes its key.
func forbiddenLiterals(s source) []finding {
	var found []finding
	ast.Inspect(s.syntax, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.BasicLit:
			if n.Kind != token.STRING {
				return false
			}
			value, err := strconv.Unquote(n.Value)
			if err == nil && slices.Contains(protocolNames, value) {
				found = append(found, finding{s.name, s.lineOf(n), value, "name of the protocol; use a struct tag or a constant of package wire, ledger or settings"})
			}
		}
		return true
	})
	return found
}

func TestSplitWords(t *testing.T) {
	cases := []struct {
		identifier string
		want       []string
	}{
		{"hire", []string{"hire"}},
		{"hireName", []string{"hire", "name"}},
		{"JobID", []string{"job", "id"}},
		{"HTTPServer", []string{"http", "server"}},
		{"minTxnOps2", []string{"min", "txn", "ops"}},
		{"Peer_ShareServer", []string{"peer", "share", "server"}},
		{"GuessS", []string{"guess", "s"}},
		{"_", nil},
	}
	for _, c := range cases {
		if got := splitWords(c.identifier); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %q, want %q", c.identifier, got, c.want)
		}
	}
}

// faultySource contains every kind of forbidden name, next to allowed names.
const faultySource = `package planted

type loanerMachine struct {
	Baton, Token uint64 "json:\"baton\""
	Room         string "json:\"room\""
	Zone         string "json:\"room\""
}

func (m *loanerMachine) take(flavors []string) (stamp uint64) {
	pieces, tasks := 1, 2
	for lane := range flavors {
		_ = lane
	}
	ticker, epochOfAgent, roomy := "loaners", "hours", "epochs"
	_, _, _, _, _ = pieces, tasks, ticker, epochOfAgent, roomy
	return 0
}
`

// TestPlantedFaultsAreFound guards against checks that pass because they find nothing: each must find
// exactly the forbidden names in faultySource.
func TestPlantedFaultsAreFound(t *testing.T) {
	s, err := parseSource("planted.go", faultySource)
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name  string
		found []finding
		want  []string
	}{
		{"identifiers", forbiddenIdentifiers(s), []string{"3 loanerMachine", "4 Baton", "9 flavors", "9 stamp", "10 pieces", "11 lane"}},
		{"fields", fieldsNamedLikeTags(s), []string{"5 Room"}},
		{"literals", forbiddenLiterals(s), []string{"14 loaners"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			for _, f := range c.found {
				got = append(got, fmt.Sprintf("%d %s", f.line, f.name))
			}
			slices.Sort(got)
			slices.Sort(c.want)
			if !slices.Equal(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
