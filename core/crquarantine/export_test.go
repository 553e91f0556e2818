package crquarantine

// Held returns the number of crashes that a table keeps, and that of their parts.
func Held(t *Table) (crashes, parts int) {
	for _, c := range t.crashes {
		parts += len(c.Parts)
	}
	return len(t.crashes), parts
}
