// Package crfile reads and writes catalogue files. A catalogue file holds the
// catalogue of the schema as TOML, with one array of tables for each kind of record.
package crfile

import (
	"crocusrack/core/crtoml"
	pb "crocusrack/schema/crcatalogue"
)

// Parse decodes a catalogue file. It checks only keys and types; the instance that
// receives the catalogue checks that it is consistent. Errors are of type
// crtoml.Problems and hold all problems of the file, such as
// services[0].kind: not one of model, plain: "modle".
func Parse(data []byte) (*pb.Catalogue, error) {
	table, err := crtoml.ParseTable(data)
	if err != nil {
		return nil, err
	}
	c := &pb.Catalogue{}
	if err := table.Decode(c); err != nil {
		return nil, err
	}
	return c, nil
}

// Format encodes the catalogue as a file from which Parse returns an equal
// catalogue. Equal catalogues give equal bytes.
func Format(c *pb.Catalogue) ([]byte, error) {
	return crtoml.Encode(c)
}
