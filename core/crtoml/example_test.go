package crtoml_test

import (
	"fmt"

	"crocusrack/core/crtoml"
	pb "crocusrack/schema/crsettings"
)

// Example of a file that is decoded with defaults. The error names every problem.
func ExampleTable_Decode() {
	table, err := crtoml.ParseTable([]byte(`
instance = "noord-a-1"
drain-timeout = "soon"
drane = true
`))
	if err != nil {
		fmt.Println(err)
		return
	}
	table = table.WithDefaults(crtoml.Table{"log-level": "info"})

	var settings pb.Settings
	err = table.Decode(&settings)
	fmt.Println(settings.Instance, settings.LogLevel)
	fmt.Println(err)
	// Output:
	// noord-a-1 info
	// drain-timeout: not a duration such as "1m30s": "soon"
	// drane: unknown key
}
