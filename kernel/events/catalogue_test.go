package events

import (
	"fmt"
	"strings"
	"testing"

	"github.com/coltsfootline/coltsfootline/kernel/golden"
)

// TestCatalogueIsDocumented guards against a docs/EVENTS.md that differs from the catalogue in the code.
func TestCatalogueIsDocumented(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log record carries its event's number and name. " +
		"This page is made by `UPDATE_GOLDEN=1 go test ./kernel/events`.\n\n" +
		"| number | name | level | meaning |\n| --- | --- | --- | --- |\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Text)
	}
	golden.Check(t, "../../docs/EVENTS.md", b.String())
}
