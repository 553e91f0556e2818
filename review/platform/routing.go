package crreview

import crstandin "crocusrack/platform/standin"

// Routing returns a configuration like that of the project's stand-ins, with the limits of the
// site cedar-order-desk.
func Routing(version, bodyBytes int, keys map[string][]string) any {
	spec := crstandin.Routing(version, keys).(map[string]any)
	spec["Limits"] = map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": bodyBytes, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
	return spec
}
