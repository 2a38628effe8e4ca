// Package btdocs checks that the documentation matches the tree.
//
// # Usage
//
//	go test ./internal/btdocs
package btdocs
