// Package crocusrack is the root of a fleet of routers between callers and
// model engines. It holds no code: decisions are in core, servers, clients and
// the daemon in io, stand-ins for the outside systems in stand, the programs
// in cmd, and the schema with the code generated from it in schema.
package crocusrack

//go:generate go tool -modfile=tools/go.mod buf generate
