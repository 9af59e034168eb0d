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

// The protocol has words of its own (baton, flavors, pieces). They stand in struct tags and in
// the values of constants, since they travel and are stored; the code uses the terms of the
// glossary in docs/design.md. TestProtocolWordsAreNoIdentifiers and
// TestProtocolNamesAreNoLiterals keep it so.

// sourceRoot is the root of the repository as seen from this package.
const sourceRoot = "../.."

// finding is an identifier or a literal that must not be there.
type finding struct {
	file   string
	line   int
	name   string
	reason string
}

func (f finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.file, f.line, f.name, f.reason)
}

func TestProtocolWordsAreNoIdentifiers(t *testing.T) {
	var found []finding
	for _, source := range productSources(t) {
		found = append(found, forbiddenIdentifiers(source)...)
	}
	reportFindings(t, found, allowedIdentifiers)
}

func TestProtocolFieldsAreNamedByTerms(t *testing.T) {
	var found []finding
	for _, source := range productSources(t) {
		found = append(found, fieldsNamedLikeTags(source)...)
	}
	reportFindings(t, found, allowedFields)
}

func TestProtocolNamesAreNoLiterals(t *testing.T) {
	var found []finding
	for _, source := range productSources(t) {
		if !slices.Contains(wireDirectories, filepath.ToSlash(filepath.Dir(source.name))) {
			found = append(found, forbiddenLiterals(source)...)
		}
	}
	reportFindings(t, found, allowedLiterals)
}

// reportFindings fails for each finding that has no exception, and for each exception that is not
// needed any more.
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
			t.Errorf("exception %s in %s is not needed any more", e.name, e.file)
		}
	}
}

// source is a parsed file.
type source struct {
	name    string // from the root of the repository, with slashes
	syntax  *ast.File
	fileSet *token.FileSet
}

// productSources parses all files of the product, whatever their build tags: neither tests nor
// generated code.
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
	const fewest = 100 // fewer show that the walk has missed the sources
	if len(sources) < fewest {
		t.Fatalf("only %d sources found", len(sources))
	}
	return sources
}

// parseSource parses a file, or a text under a file's name unless that is nil.
func parseSource(path string, text any) (source, error) {
	lines := token.NewFileSet()
	syntax, err := parser.ParseFile(lines, path, text, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return source{}, err
	}
	return source{name: pathFromRoot(path), syntax: syntax, fileSet: lines}, nil
}

// pathFromRoot is a path from the root of the repository, with slashes.
func pathFromRoot(path string) string {
	return strings.TrimPrefix(filepath.ToSlash(path), sourceRoot+"/")
}

func (s source) lineOf(node ast.Node) int { return s.fileSet.Position(node.Pos()).Line }

// forbiddenIdentifiers lists the names that a source declares with a word of the protocol. Uses
// of a name are not listed: it is declared once, and generated code is not ours.
func forbiddenIdentifiers(s source) []finding {
	var found []finding
	check := func(names ...*ast.Ident) {
		for _, name := range names {
			if name == nil {
				continue
			}
			if why := forbiddenReason(name.Name); why != "" {
				found = append(found, finding{s.name, s.lineOf(name), name.Name, why})
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

// fieldsNamedLikeTags lists the fields of structs whose tag is a name of the protocol, also one
// that is ordinary English elsewhere, and that are named like it.
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
				found = append(found, finding{s.name, s.lineOf(name), name.Name, "is the protocol's name, write the glossary's term"})
			}
		}
		return true
	})
	return found
}

// plainIdentifiers are those of some expressions that are plain names.
func plainIdentifiers(expressions []ast.Expr) []*ast.Ident {
	var names []*ast.Ident
	for _, e := range expressions {
		if name, ok := e.(*ast.Ident); ok {
			names = append(names, name)
		}
	}
	return names
}

// forbiddenReason tells which term belongs in place of a word in an identifier; "": all are right.
func forbiddenReason(identifier string) string {
	words := splitWords(identifier)
	for i, word := range words {
		for _, w := range []string{word, strings.TrimSuffix(word, "s")} {
			if term, ok := forbiddenWords[w]; ok {
				return fmt.Sprintf("%q is the protocol's word, write %s", word, term)
			}
		}
		if i > 0 {
			if term, ok := forbiddenPairs[[2]string{words[i-1], word}]; ok {
				return fmt.Sprintf("\"%s %s\" is the protocol's word, write %s", words[i-1], word, term)
			}
		}
	}
	return ""
}

// splitWords splits an identifier by camel case and underscores into words in lower case. A row
// of capitals is one word: JobID is job, id; HTTPServer is http, server.
func splitWords(identifier string) []string {
	var words []string
	letters := []rune(identifier)
	begin := 0
	cut := func(end int) {
		if word := strings.Trim(string(letters[begin:end]), "_0123456789"); word != "" {
			words = append(words, strings.ToLower(word))
		}
		begin = end
	}
	for i := 1; i < len(letters); i++ {
		lowerBefore := !unicode.IsUpper(letters[i-1])
		upper := unicode.IsUpper(letters[i])
		lowerAfter := i+1 < len(letters) && unicode.IsLower(letters[i+1])
		if letters[i] == '_' || upper && (lowerBefore || lowerAfter) {
			cut(i)
		}
	}
	cut(len(letters))
	return words
}

// forbiddenLiterals lists the string literals of a source that equal a name of the protocol. Tags
// of struct fields are not among them, nor the paths of imports.
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
				found = append(found, finding{s.name, s.lineOf(n), value, "a name of the protocol belongs into a tag or a constant of wire, ledger or settings"})
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

// faultySource has each kind of fault once, and names that are right.
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
