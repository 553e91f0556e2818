package crslope

import "fmt"

// Unit is the unit of a value.
type Unit string

// The units of values.
const (
	Bytes          Unit = "bytes"
	BytesPerSecond Unit = "bytes/s"
	Calls          Unit = "calls"
	CallsPerSecond Unit = "calls/s"
	Count          Unit = "count"
	CorePercent    Unit = "% of a core"
	Nanoseconds    Unit = "ns"
	Seconds        Unit = "s"
)

// scale is a power that a unit is printed in.
type scale struct {
	from   float64
	name   string
	digits int
}

var scales = map[Unit][]scale{
	Bytes:          {{1e6, "MB", 1}, {1e3, "KB", 1}, {1, "B", 0}},
	BytesPerSecond: {{1e3, "KB/s", 2}, {1, "B/s", 0}},
	Nanoseconds:    {{1e9, "s", 2}, {1e6, "ms", 2}, {1e3, "µs", 1}, {1, "ns", 0}},
}

// Format returns the value for people, with its unit.
func (u Unit) Format(value float64) string {
	for _, s := range scales[u] {
		if value >= s.from {
			return fmt.Sprintf("%.*f %s", s.digits, value/s.from, s.name)
		}
	}
	switch u {
	case Count:
		return number(value)
	case CorePercent:
		return number(value) + " %"
	}
	return number(value) + " " + string(u)
}

// number prints three digits or more.
func number(value float64) string {
	switch {
	case value >= 100:
		return fmt.Sprintf("%.0f", value)
	case value >= 10:
		return fmt.Sprintf("%.1f", value)
	}
	return fmt.Sprintf("%.2f", value)
}
