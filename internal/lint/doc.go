// Package lint holds tests that check the sources themselves, where neither the compiler nor
// the linters can: that names follow the glossary in docs/design.md. It has no code of its own.
package lint
