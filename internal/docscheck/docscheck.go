// Package docscheck holds the tests that keep the pages under docs in step with the
// code: names that a page gives exist, the table of imports is the real one, every log
// message is explained, and no link is dead.
package docscheck
