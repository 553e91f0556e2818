// Package crversion knows which software version of a service began a stream. What two versions
// write doesn't fit together, and endpoints don't check which one wrote the events before, so a
// stream may only go on at the version that began it. The package does no I/O and takes the time
// from its caller.
package crversion

import "crocusrack/core/crhash"

// Version identifies a software version of a service. Zero means that it isn't known.
type Version uint32

// Of returns the Version with the given name, which may be empty.
func Of(name string) Version { return Version(crhash.Of(name)) | 1 }
