package crsettings

import (
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crtoml"
)

// longestName is the longest name of an instance or failure domain, in bytes.
const longestName = 63

// checker collects problems.
type checker struct {
	problems crtoml.Problems
}

// keys checks each value by its row of the table. Values of the wrong type
// have been named by the decoder.
func (c *checker) keys(m protoreflect.Message, table []Key) {
	wrong := slices.Clone(c.problems)
	for _, k := range table {
		if hasProblem(wrong, k.Path) {
			continue
		}
		value := lookup(m, strings.Split(k.Path, "."))
		if value == nil {
			if k.Required {
				c.problems.Addf(k.Path, "missing")
			}
			continue
		}
		c.value(k, value)
	}
}

// hasProblem reports whether the key, a table that it is in or an item of its
// list has a problem.
func hasProblem(problems crtoml.Problems, path string) bool {
	return slices.ContainsFunc(problems, func(p crtoml.Problem) bool {
		return p.Path == path || strings.HasPrefix(path, p.Path+".") || strings.HasPrefix(p.Path, path+"[")
	})
}

// lookup returns the value at a path, or nil when it is not set. Integers are
// always set: their default is never zero.
func lookup(m protoreflect.Message, path []string) any {
	field := m.Descriptor().Fields().ByJSONName(path[0])
	if len(path) > 1 {
		return lookup(m.Get(field).Message(), path[1:])
	}
	if !m.Has(field) && field.Kind() != protoreflect.Uint32Kind {
		return nil
	}
	if field.IsList() {
		return texts(m.Get(field).List())
	}
	if field.Kind() == protoreflect.MessageKind {
		return m.Get(field).Message().Interface()
	}
	return m.Get(field).Interface()
}

func texts(list protoreflect.List) []string {
	values := make([]string, list.Len())
	for i := range values {
		values[i] = list.Get(i).String()
	}
	return values
}

func (c *checker) value(k Key, value any) {
	switch v := value.(type) {
	case string:
		c.text(k, v)
	case uint32:
		if int64(v) < bound(k.Min) || int64(v) > bound(k.Max) {
			c.problems.Addf(k.Path, "out of range %s to %s: %d", k.Min, k.Max, v)
		}
	case float64:
		if v < float64(bound(k.Min)) || v > float64(bound(k.Max)) {
			c.problems.Addf(k.Path, "out of range %s to %s: %g", k.Min, k.Max, v)
		}
	case *durationpb.Duration:
		if d := v.AsDuration(); d < asDuration(k.Min) || d > asDuration(k.Max) {
			c.problems.Addf(k.Path, "out of range %s to %s: %s", k.Min, k.Max, d)
		}
	case []string:
		c.list(k, v)
	}
}

func bound(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		panic("crsettings: bad bound in the table of keys: " + text)
	}
	return n
}

func (c *checker) text(k Key, v string) {
	switch k.Type {
	case TypeAddress:
		c.address(k.Path, v)
	case TypeName:
		if !isName(v) {
			c.problems.Addf(k.Path, "not a name of at most %d lower-case letters, digits and hyphens: %q", longestName, v)
		}
	case TypeURL:
		c.url(k.Path, v)
	}
	if len(k.Values) > 0 && !slices.Contains(k.Values, v) {
		c.problems.Addf(k.Path, "not one of %s: %q", strings.Join(k.Values, ", "), v)
	}
}

func isName(v string) bool {
	if v == "" || len(v) > longestName || v[0] == '-' || v[len(v)-1] == '-' {
		return false
	}
	return strings.Trim(v, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}

func (c *checker) address(path, v string) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		c.problems.Addf(path, "not an IP address and port: %q", v)
		return
	}
	if a.Port() == 0 {
		c.problems.Addf(path, "port 0 can't be reached by others: %q", v)
	}
}

// list checks each value of a list.
func (c *checker) list(k Key, values []string) {
	for i, v := range values {
		path := k.Path + "[" + strconv.Itoa(i) + "]"
		if k.Type == TypeAddresses {
			c.address(path, v)
		} else if !slices.Contains(k.Values, v) {
			c.problems.Addf(path, "not one of %s: %q", strings.Join(k.Values, ", "), v)
		}
		if slices.Contains(values[:i], v) {
			c.problems.Addf(path, "listed twice: %q", v)
		}
	}
}

func (c *checker) url(path, v string) {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.problems.Addf(path, "not an http or https URL: %q", v)
		return
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		c.problems.Addf(path, "not a base URL: it has a user, a query or a fragment")
	}
}

// relation adds a problem between values, unless the value itself has one.
func (c *checker) relation(path, format string, args ...any) {
	if !hasProblem(c.problems, path) {
		c.problems.Addf(path, format, args...)
	}
}

// relations checks values against each other.
func (c *checker) relations(s Settings) {
	c.listener("caller", s.Caller)
	c.listener("peer", s.Peer)
	c.listener("operator", s.Operator)
	if !s.Peer.PlainText && s.Peer.TLS.ClientAuthorities == "" {
		c.relation("peer.tls.client-authorities", "missing: instances check each other's certificates unless peer.plain-text is true")
	}
	if s.Platform.Authorities != "" && strings.HasPrefix(s.Platform.URL, "http://") {
		c.relation("platform.authorities", "set although platform.url has the scheme http")
	}
	c.distinct(s)
	if s.DrainTimeout < s.AddressLifetime {
		c.relation("drain-timeout", "shorter than address-lifetime, which is %s: %s", s.AddressLifetime, s.DrainTimeout)
	}
}

func (c *checker) listener(name string, l Listener) {
	if l.Advertise.IsValid() && l.Advertise.Addr().IsUnspecified() {
		c.relation(name+".advertise", "others can't use %s: set an address of this instance", l.Advertise)
	}
	if l.PlainText {
		if l.TLS != (TLS{}) {
			c.relation(name+".plain-text", "true although TLS files are set")
		}
		return
	}
	if l.TLS.Certificate == "" {
		c.relation(name+".tls.certificate", "missing: set it, or %s.plain-text = true", name)
	}
	if l.TLS.Key == "" {
		c.relation(name+".tls.key", "missing: set it, or %s.plain-text = true", name)
	}
}

func (c *checker) distinct(s Settings) {
	listeners := []struct {
		name    string
		address netip.AddrPort
	}{{"caller", s.Caller.Address}, {"operator", s.Operator.Address}, {"peer", s.Peer.Address}}
	for i, l := range listeners {
		for _, earlier := range listeners[:i] {
			if l.address.IsValid() && l.address == earlier.address {
				c.relation(l.name+".address", "the same as %s.address: %q", earlier.name, l.address)
			}
		}
	}
}
