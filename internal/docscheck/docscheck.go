// Package docscheck contains the tests that check the documentation pages against the
// code: the names in a page exist, the table of imports is correct, every log message is
// documented, and no link is broken.
package docscheck
