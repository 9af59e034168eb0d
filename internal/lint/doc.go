// Package lint contains only tests, which check the sources for rules that neither the compiler nor
// the linters can check: that names follow the glossary in docs/design.md.
package lint
